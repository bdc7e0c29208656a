//! Settings of a forwarding node.

mod number_reader;
mod quota_reader;
mod relay_text;
mod settings_reader;

use self::relay_text::RelayText;

use crate::{
    error::{self, Result, UnreadableSnafu},
    node_settings::{ControlMode, LogLevel},
    value_check::ValueChecker,
};

use compact_str::CompactString;
use snafu::ResultExt;
use std::{net::SocketAddr, path::Path, time::Duration};

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
/// Time that a caller may take to read its responses if the settings give none.
const RESPONSE_TIME_DEFAULT: Duration = Duration::from_secs(30);
/// Bytes that it read of them that allow one second more, if the settings give none.
const RESPONSE_RATE_DEFAULT: u32 = 16 * 1024;

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
    /// Time that a caller may take to read its responses.
    pub response_time: Duration,
    /// Bytes that it read of them that allow one second more.
    pub response_bytes_per_second: u32,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            descriptors: None,
            connections: CALLER_CONNECTIONS_DEFAULT,
            body_time: BODY_TIME_DEFAULT,
            body_bytes_per_second: BODY_RATE_DEFAULT,
            response_time: RESPONSE_TIME_DEFAULT,
            response_bytes_per_second: RESPONSE_RATE_DEFAULT,
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
        let settings = settings_reader::read(&mut checker, &text);
        checker.finish(settings)
    }
}
