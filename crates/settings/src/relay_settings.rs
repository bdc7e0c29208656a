//! Settings of a forwarding node.

use crate::{
    error::{self, Result, UnreadableSnafu},
    node_settings::{ControlMode, LogLevel},
    settings_text::SpannedText,
    value_check::ValueChecker,
};

use compact_str::CompactString;
use serde::Deserialize;
use serde_saphyr::Spanned;
use snafu::ResultExt;
use std::{net::SocketAddr, path::Path, time::Duration};

/// `RelaySettings` holds the identity of a node, its addresses and its limits.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Name of the node.
    pub node: CompactString,
    /// Service of the upstream beside which the node runs.
    pub service: CompactString,
    /// Availability zone of the node.
    pub zone: CompactString,
    /// Region of the node.
    pub region: CompactString,
    /// Addresses to listen on.
    pub listen: RelayListenSettings,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// The store from which documents and upstream lists are read.
    pub store: StoreSettings,
    /// Retry limits of the whole fleet.
    pub retries: RetrySettings,
    /// Bounds on what a client account may send beyond its quota.
    pub quotas: QuotaSettings,
    /// When requests leave the availability zone of the node.
    pub zones: ZoneSettings,
    /// Time between the request to stop and the forced kill of the process.
    pub grace_time: Duration,
    /// Shortest time between the end of an upstream and the reuse of its address by another
    /// service.
    pub address_reuse_time: Duration,
    /// Memory limit of the process, in MiB.
    pub memory_mib: u32,
    /// What callers may hold and how long their requests may take to arrive.
    pub callers: CallerSettings,
    /// Least severe level that is logged.
    pub log: LogLevel,
    /// Whether policies are enforced.
    pub control: ControlMode,
}

/// `RelayListenSettings` holds the address of each listener.
#[derive(Clone, Copy, Debug)]
pub struct RelayListenSettings {
    /// Listener for callers on the instance and for the calls that the upstream makes.
    pub callers: SocketAddr,
    /// Listener for readiness probes.
    pub ready: SocketAddr,
    /// Listener for other nodes; all nodes use the same port.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
}

/// `StoreSettings` holds the address of the store, and the time bounds for what is read from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Time after an outage of the store in which a node has to be up to date again.
    pub settle_time: Duration,
    /// Time after which an upstream that announced its departure gets no more requests.
    pub drain_time: Duration,
    /// Time after which a newer document is in force.
    pub apply_time: Duration,
    /// Interval at which upstreams renew their entries.
    pub heartbeat_interval: Duration,
    /// Time after which a key that was taken away must not work at any node; `None` if nodes without
    /// contact to others may go on.
    pub revocation_time: Option<Duration>,
}

impl StoreSettings {
    /// Creates the settings of the store at `address`, with the default time bounds.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            settle_time: SETTLE_TIME_DEFAULT,
            drain_time: DRAIN_TIME_DEFAULT,
            apply_time: APPLY_TIME_DEFAULT,
            heartbeat_interval: HEARTBEAT_INTERVAL_DEFAULT,
            revocation_time: None,
        }
    }

    /// Time that the node's view of the store may be old, without a disturbance.
    #[must_use]
    pub fn view_time(&self) -> Duration {
        self.drain_time.min(self.apply_time)
    }
}

/// `CallerSettings` limits the connections of callers and the time that their requests take to arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// Descriptors that the process may open; `None` for what the operating system allows.
    pub descriptors: Option<u32>,
    /// Concurrent connections of callers, if descriptors and memory suffice for them.
    pub connections: u32,
    /// Time that the body of a request may take to arrive.
    pub body_time: Duration,
    /// Received bytes of a body that allow one second more.
    pub body_bytes_per_second: u32,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            descriptors: None,
            connections: CALLER_CONNECTIONS_DEFAULT,
            body_time: BODY_TIME_DEFAULT,
            body_bytes_per_second: BODY_RATE_DEFAULT,
        }
    }
}

/// `RetrySettings` limits the retries that all nodes together send to a service.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in one window in addition to those of `ratio`.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Whether the requests of earlier windows count if they are more.
    pub counts_earlier: bool,
}

/// `QuotaSettings` bounds the requests of a client account that run in one window, over all nodes: no more
/// than `(rate x window + burst) x (1 + overage) + slack` of its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the window.
    pub window: Duration,
    /// Share of the quota by which a window may exceed it.
    pub overage: f64,
    /// Requests by which a window may exceed it besides.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.25,
            slack: 20.0,
        }
    }
}

/// `ZoneSettings` says when requests leave the availability zone of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneSettings {
    /// Time that a request has to save by leaving the zone. It stands for the price of the bytes
    /// between zones; the delay of the link is measured and counted in addition.
    pub leave_cost: Duration,
}

impl Default for ZoneSettings {
    fn default() -> Self {
        Self {
            leave_cost: LEAVE_COST_DEFAULT,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RelayText {
    node: SpannedText,
    service: SpannedText,
    zone: SpannedText,
    region: SpannedText,
    listen: ListenText,
    upstream: SpannedText,
    store: SpannedText,
    settle_seconds: Option<Spanned<f64>>,
    drain_seconds: Option<Spanned<f64>>,
    apply_seconds: Option<Spanned<f64>>,
    heartbeat_seconds: Option<Spanned<f64>>,
    revocation_strict: Option<Spanned<bool>>,
    revocation_seconds: Option<Spanned<f64>>,
    repeats: RetryText,
    quota: Option<QuotaText>,
    zones: Option<ZoneText>,
    grace_seconds: Spanned<f64>,
    address_reuse_seconds: Spanned<f64>,
    memory_mib: Spanned<f64>,
    descriptors: Option<Spanned<f64>>,
    caller_connections: Option<Spanned<f64>>,
    body_seconds: Option<Spanned<f64>>,
    body_bytes_per_second: Option<Spanned<f64>>,
    log: Option<SpannedText>,
    control: Option<SpannedText>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListenText {
    callers: SpannedText,
    ready: SpannedText,
    peers: SpannedText,
    admin: SpannedText,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RetryText {
    ratio: Spanned<f64>,
    slack: Spanned<f64>,
    window_seconds: Spanned<f64>,
    earlier_windows: Option<bool>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct QuotaText {
    window_seconds: Spanned<f64>,
    overage: Spanned<f64>,
    slack: Spanned<f64>,
}

/// Least overage of quotas. With less, it would not cover clocks that run fast.
const QUOTA_OVERAGE_MIN: f64 = 0.05;
/// Least product of window and overage of quotas, in seconds. With less, tokens would expire within the
/// time of a message.
const QUOTA_OVERRUN_MIN: f64 = 0.1;
/// Least slack of quotas, in requests: with less, the least bucket of a single zone would exceed it.
const QUOTA_SLACK_MIN: f64 = 2.0;
/// Largest overage of quotas.
const QUOTA_OVERAGE_MAX: f64 = 10.0;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneText {
    leave_cost_ms: Option<Spanned<f64>>,
}

/// Time that a request has to save by leaving the zone if the settings give none.
const LEAVE_COST_DEFAULT: Duration = Duration::from_millis(5);
/// Settle time of the store if the settings give none.
const SETTLE_TIME_DEFAULT: Duration = Duration::from_secs(3);
/// Drain time of upstreams if the settings give none.
const DRAIN_TIME_DEFAULT: Duration = Duration::from_secs(2);
/// Time after which a document is in force if the settings give none.
const APPLY_TIME_DEFAULT: Duration = Duration::from_secs(2);
/// Interval of the heartbeats of upstreams if the settings give none.
const HEARTBEAT_INTERVAL_DEFAULT: Duration = Duration::from_millis(1500);
/// Concurrent connections of callers if the settings give none.
const CALLER_CONNECTIONS_DEFAULT: u32 = 2500;
/// Time that a body may take to arrive if the settings give none.
const BODY_TIME_DEFAULT: Duration = Duration::from_secs(30);
/// Received bytes of a body that allow one second more, if the settings give none.
const BODY_RATE_DEFAULT: u32 = 16 * 1024;
/// Largest duration accepted for a setting, in seconds.
const SECONDS_MAX: f64 = 3600.0;
/// Shortest bound on the use of keys that were taken away, in seconds. Nodes have to read the store
/// several times within it.
const REVOCATION_SECONDS_MIN: f64 = 1.0;
/// Largest number accepted for a setting.
const NUMBER_MAX: f64 = 1_000_000.0;

impl RelaySettings {
    /// Reads settings from the file at `path`.
    ///
    /// # Errors
    /// [`Unreadable`](crate::SettingsError::Unreadable), or those of [`Self::parse`].
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Parses settings in YAML.
    ///
    /// # Errors
    /// Names the line and key of each error.
    pub fn parse(text: &str) -> Result<Self> {
        let text: RelayText =
            serde_saphyr::from_str(text).map_err(|error| error::syntax_error(&error))?;
        let mut checker = ValueChecker::default();
        let listen = &text.listen;
        let settings = Self {
            node: checker.read_name("node", &text.node),
            service: checker.read_name("service", &text.service),
            zone: checker.read_name("zone", &text.zone),
            region: checker.read_name("region", &text.region),
            listen: RelayListenSettings {
                callers: checker.read_address("listen.callers", &listen.callers),
                ready: checker.read_address("listen.ready", &listen.ready),
                peers: checker.read_address("listen.peers", &listen.peers),
                admin: checker.read_address("listen.admin", &listen.admin),
            },
            upstream: checker.read_address("upstream", &text.upstream),
            store: read_store(&mut checker, &text),
            retries: read_retries(&mut checker, &text.repeats),
            quotas: read_quotas(&mut checker, text.quota.as_ref()),
            zones: read_zones(&mut checker, text.zones.as_ref()),
            grace_time: read_seconds(&mut checker, "grace_seconds", &text.grace_seconds),
            address_reuse_time: read_seconds(
                &mut checker,
                "address_reuse_seconds",
                &text.address_reuse_seconds,
            ),
            memory_mib: read_whole_number(&mut checker, "memory_mib", &text.memory_mib),
            callers: read_callers(&mut checker, &text),
            log: checker.read_choice(
                "log",
                text.log.as_ref(),
                &crate::node_settings::LOG_LEVELS,
                "error, warn, info, debug or trace",
            ),
            control: checker.read_choice(
                "control",
                text.control.as_ref(),
                &crate::node_settings::CONTROL_MODES,
                "enforce or pass-through",
            ),
        };
        checker.finish(settings)
    }
}

fn read_store(checker: &mut ValueChecker, text: &RelayText) -> StoreSettings {
    let mut settings = StoreSettings::new(checker.read_address("store", &text.store));
    if let Some(seconds) = &text.settle_seconds {
        settings.settle_time = read_seconds(checker, "settle_seconds", seconds);
    }
    if let Some(seconds) = &text.drain_seconds {
        settings.drain_time = read_seconds(checker, "drain_seconds", seconds);
    }
    if let Some(seconds) = &text.apply_seconds {
        settings.apply_time = read_seconds(checker, "apply_seconds", seconds);
    }
    if let Some(seconds) = &text.heartbeat_seconds {
        settings.heartbeat_interval = read_seconds(checker, "heartbeat_seconds", seconds);
    }
    settings.revocation_time = read_revocation(checker, text);
    settings
}

fn read_callers(checker: &mut ValueChecker, text: &RelayText) -> CallerSettings {
    let mut settings = CallerSettings::default();
    if let Some(count) = &text.descriptors {
        settings.descriptors = Some(read_whole_number(checker, "descriptors", count));
    }
    if let Some(count) = &text.caller_connections {
        settings.connections = read_whole_number(checker, "caller_connections", count);
    }
    if let Some(seconds) = &text.body_seconds {
        settings.body_time = read_seconds(checker, "body_seconds", seconds);
    }
    if let Some(rate) = &text.body_bytes_per_second {
        settings.body_bytes_per_second = read_whole_number(checker, "body_bytes_per_second", rate);
    }
    settings
}

/// Reads the bound on the use of keys that were taken away, which needs both of its settings.
fn read_revocation(checker: &mut ValueChecker, text: &RelayText) -> Option<Duration> {
    let is_strict = text.revocation_strict.as_ref()?;
    if !is_strict.value {
        return None;
    }
    let key = "revocation_seconds";
    let expected = "a number of seconds from 1 to 3600";
    let Some(seconds) = &text.revocation_seconds else {
        checker.add_error(is_strict.referenced, key, "nothing", expected);
        return None;
    };
    if (REVOCATION_SECONDS_MIN..=SECONDS_MAX).contains(&seconds.value) {
        return Some(Duration::from_secs_f64(seconds.value));
    }
    checker.add_error(
        seconds.referenced,
        key,
        &seconds.value.to_string(),
        expected,
    );
    None
}

fn read_retries(checker: &mut ValueChecker, text: &RetryText) -> RetrySettings {
    RetrySettings {
        ratio: read_number(checker, "repeats.ratio", &text.ratio),
        slack: read_number(checker, "repeats.slack", &text.slack),
        window: read_seconds(checker, "repeats.window_seconds", &text.window_seconds),
        counts_earlier: text.earlier_windows.unwrap_or(false),
    }
}

fn read_quotas(checker: &mut ValueChecker, text: Option<&QuotaText>) -> QuotaSettings {
    let Some(text) = text else {
        return QuotaSettings::default();
    };
    let overage = &text.overage;
    if !(QUOTA_OVERAGE_MIN..=QUOTA_OVERAGE_MAX).contains(&overage.value) {
        let found = overage.value.to_string();
        let expected = "a number from 0.05 to 10";
        checker.add_error(overage.referenced, "quota.overage", &found, expected);
    }
    let window = read_seconds(checker, "quota.window_seconds", &text.window_seconds);
    if !window.is_zero() && window.as_secs_f64() * overage.value < QUOTA_OVERRUN_MIN {
        let window = &text.window_seconds;
        let found = window.value.to_string();
        let expected = "a number of seconds that is at least 0.1 / quota.overage";
        checker.add_error(window.referenced, "quota.window_seconds", &found, expected);
    }
    QuotaSettings {
        window,
        overage: overage.value,
        slack: read_quota_slack(checker, &text.slack),
    }
}

/// Reads the slack of quotas, half of which has to hold the least that a bucket can hold.
fn read_quota_slack(checker: &mut ValueChecker, text: &Spanned<f64>) -> f64 {
    let value = text.value;
    if (QUOTA_SLACK_MIN..=NUMBER_MAX).contains(&value) {
        return value;
    }
    let found = value.to_string();
    let expected = "a number from 2 to 1000000, 2 for each availability zone";
    checker.add_error(text.referenced, "quota.slack", &found, expected);
    QUOTA_SLACK_MIN
}

fn read_zones(checker: &mut ValueChecker, text: Option<&ZoneText>) -> ZoneSettings {
    let mut settings = ZoneSettings::default();
    if let Some(cost) = text.and_then(|text| text.leave_cost_ms.as_ref()) {
        let millis = read_number(checker, "zones.leave_cost_ms", cost);
        settings.leave_cost = Duration::from_secs_f64(millis / 1000.0);
    }
    settings
}

fn read_number(checker: &mut ValueChecker, key: &str, text: &Spanned<f64>) -> f64 {
    let value = text.value;
    if (0.0..=NUMBER_MAX).contains(&value) {
        return value;
    }
    let found = value.to_string();
    checker.add_error(text.referenced, key, &found, "a number from 0 to 1000000");
    0.0
}

fn read_seconds(checker: &mut ValueChecker, key: &str, text: &Spanned<f64>) -> Duration {
    let value = text.value;
    if value > 0.0 && value <= SECONDS_MAX {
        return Duration::from_secs_f64(value);
    }
    let found = value.to_string();
    checker.add_error(
        text.referenced,
        key,
        &found,
        "a number of seconds above 0, at most 3600",
    );
    Duration::ZERO
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn read_whole_number(checker: &mut ValueChecker, key: &str, text: &Spanned<f64>) -> u32 {
    let value = text.value;
    if (1.0..=NUMBER_MAX).contains(&value) && value.fract() == 0.0 {
        return value as u32;
    }
    let found = value.to_string();
    checker.add_error(
        text.referenced,
        key,
        &found,
        "a whole number from 1 to 1000000",
    );
    0
}
