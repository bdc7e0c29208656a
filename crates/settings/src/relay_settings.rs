//! Settings of a node of the forwarding path.

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

/// `RelaySettings` tells a node where it stands, which addresses it uses and what bounds it.
#[derive(Clone, Debug)]
pub struct RelaySettings {
    /// Name of the node.
    pub node: CompactString,
    /// Service of the upstream beside it.
    pub service: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Region.
    pub region: CompactString,
    /// Addresses to listen on.
    pub listen: RelayListenSettings,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Address of the store that documents and lists are read from.
    pub store: SocketAddr,
    /// Repeats of the whole fleet.
    pub retries: RetrySettings,
    /// Time between the request to stop and the kill that follows.
    pub grace_time: Duration,
    /// Least time between the end of an upstream and the use of its address by another service.
    pub address_reuse_time: Duration,
    /// Memory that the process may use, in mebibytes.
    pub memory_mib: u32,
    /// Least level of log lines.
    pub log: LogLevel,
    /// Whether decisions are taken.
    pub control: ControlMode,
}

/// `RelayListenSettings` holds the address of each door.
#[derive(Clone, Copy, Debug)]
pub struct RelayListenSettings {
    /// Door for callers on the instance and for the calls of the upstream.
    pub callers: SocketAddr,
    /// Door that tells whether the node is ready.
    pub ready: SocketAddr,
    /// Door for other nodes; all nodes use the same port.
    pub peers: SocketAddr,
    /// Door for operators.
    pub admin: SocketAddr,
}

/// `RetrySettings` bounds the repeats that all nodes together make at a service.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that in one window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
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
    repeats: RetryText,
    grace_seconds: Spanned<f64>,
    address_reuse_seconds: Spanned<f64>,
    memory_mib: Spanned<f64>,
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
}

/// Longest time that a setting may name, in seconds.
const SECONDS_MAX: f64 = 3600.0;
/// Largest number that a setting may name.
const NUMBER_MAX: f64 = 1_000_000.0;

impl RelaySettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// Names the file, or every line and key at fault.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Reads settings from text.
    ///
    /// # Errors
    /// Names every line and key at fault.
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
            store: checker.read_address("store", &text.store),
            retries: read_retries(&mut checker, &text.repeats),
            grace_time: read_seconds(&mut checker, "grace_seconds", &text.grace_seconds),
            address_reuse_time: read_seconds(
                &mut checker,
                "address_reuse_seconds",
                &text.address_reuse_seconds,
            ),
            memory_mib: read_whole_number(&mut checker, "memory_mib", &text.memory_mib),
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

fn read_retries(checker: &mut ValueChecker, text: &RetryText) -> RetrySettings {
    RetrySettings {
        ratio: read_number(checker, "repeats.ratio", &text.ratio),
        slack: read_number(checker, "repeats.slack", &text.slack),
        window: read_seconds(checker, "repeats.window_seconds", &text.window_seconds),
    }
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
        "seconds above 0, 3600 at most",
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
