//! Settings of a sidecar node.

use crate::{
    error::{self, Result, UnreadableSnafu},
    settings_text::{ListenText, LogText, SettingsText, SpannedText, UpstreamText},
    value_check::ValueChecker,
};

use compact_str::CompactString;
use serde_saphyr::Spanned;
use snafu::ResultExt;
use std::{net::SocketAddr, path::Path};

/// Path of the health endpoint of the upstream unless the settings give one.
const DEFAULT_HEALTH_PATH: &str = "/health";
/// Accepted addresses of the admin listener, for error messages.
const EXPECTED_ADMIN_ADDRESS: &str =
    "a loopback address, or remote_admin: true in the same section";

/// `NodeSettings` holds the identity of a node, its addresses and its modes.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the upstream instance beside which the node runs.
    pub instance: CompactString,
    /// Service of the upstream.
    pub service: CompactString,
    /// Availability zone of the instance.
    pub zone: CompactString,
    /// Region of the instance.
    pub region: CompactString,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Address and health endpoint of the upstream.
    pub upstream: UpstreamSettings,
    /// Addresses of the platform service; after a failed read the next one is used. Never empty.
    pub platform: Vec<SocketAddr>,
    /// Format and level of logs.
    pub log: LogSettings,
    /// Whether policies are enforced.
    pub control: ControlMode,
}

/// `ControlMode` says whether a node enforces policies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlMode {
    /// The node admits, refuses, routes and retries requests by its policies.
    #[default]
    Enforce,
    /// The node forwards every request to any listed instance; the baseline of measurements.
    PassThrough,
}

/// `ListenSettings` holds the address of each listener; port 0 binds any free port.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// Listener for requests of callers.
    pub inbound: SocketAddr,
    /// Listener for the calls that the upstream makes.
    pub outbound: SocketAddr,
    /// Listener for other nodes.
    pub peer: SocketAddr,
    /// Listener for operators; a loopback address unless `remote_admin` is set.
    pub admin: SocketAddr,
}

/// `UpstreamSettings` holds the address and health endpoint of the upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Path of the health endpoint.
    pub health: CompactString,
}

/// `LogSettings` holds the format and level of logs.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
}

/// `LogFormat` is the format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Human-readable text.
    Text,
}

/// `LogLevel` is the least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors that need an operator.
    Error,
    /// Errors that the node handles, and all more severe levels.
    Warn,
    /// Changes of state, and all more severe levels.
    #[default]
    Info,
    /// Decisions on single requests, and all more severe levels.
    Debug,
    /// All events.
    Trace,
}

pub(crate) const CONTROL_MODES: [(&str, ControlMode); 2] = [
    ("enforce", ControlMode::Enforce),
    ("pass-through", ControlMode::PassThrough),
];
const LOG_FORMATS: [(&str, LogFormat); 2] = [("json", LogFormat::Json), ("text", LogFormat::Text)];
pub(crate) const LOG_LEVELS: [(&str, LogLevel); 5] = [
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
    ("trace", LogLevel::Trace),
];

impl LogLevel {
    /// Returns the name of the level in lower case.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

impl NodeSettings {
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
        let text: SettingsText =
            serde_saphyr::from_str(text).map_err(|error| error::syntax_error(&error))?;
        let mut checker = ValueChecker::default();
        let settings = Self {
            instance: checker.read_name("instance", &text.instance),
            service: checker.read_name("service", &text.service),
            zone: checker.read_name("zone", &text.zone),
            region: checker.read_name("region", &text.region),
            listen: read_listen(&mut checker, &text.listen),
            upstream: read_upstream(&mut checker, &text.upstream),
            platform: read_platform(&mut checker, &text.platform),
            log: read_log(&mut checker, &text.log),
            control: checker.read_choice(
                "control",
                text.control.as_ref(),
                &CONTROL_MODES,
                "enforce or pass-through",
            ),
        };
        checker.finish(settings)
    }
}

fn read_listen(checker: &mut ValueChecker, text: &ListenText) -> ListenSettings {
    let settings = ListenSettings {
        inbound: checker.read_address("listen.inbound", &text.inbound),
        outbound: checker.read_address("listen.outbound", &text.outbound),
        peer: checker.read_address("listen.peer", &text.peer),
        admin: checker.read_address("listen.admin", &text.admin),
    };
    let admin = &text.admin;
    let is_local = settings.admin.ip().is_loopback() || text.remote_admin;
    if !is_local && admin.value.parse::<SocketAddr>().is_ok() {
        checker.add_error(
            admin.referenced,
            "listen.admin",
            &admin.value,
            EXPECTED_ADMIN_ADDRESS,
        );
    }
    settings
}

fn read_upstream(checker: &mut ValueChecker, text: &UpstreamText) -> UpstreamSettings {
    let health = text
        .health
        .as_ref()
        .map_or(DEFAULT_HEALTH_PATH, |health| health.value.as_str());
    if let Some(health) = text
        .health
        .as_ref()
        .filter(|health| !health.value.starts_with('/'))
    {
        checker.add_error(
            health.referenced,
            "upstream.health",
            &health.value,
            "a path that starts with /",
        );
    }
    UpstreamSettings {
        address: checker.read_address("upstream.address", &text.address),
        health: health.into(),
    }
}

fn read_platform(checker: &mut ValueChecker, text: &Spanned<Vec<SpannedText>>) -> Vec<SocketAddr> {
    if text.value.is_empty() {
        checker.add_error(text.referenced, "platform", "[]", "at least one address");
    }
    let addresses = text.value.iter().enumerate();
    addresses
        .map(|(index, text)| checker.read_address(&format!("platform[{index}]"), text))
        .collect()
}

fn read_log(checker: &mut ValueChecker, text: &LogText) -> LogSettings {
    let expected_level = "error, warn, info, debug or trace";
    LogSettings {
        format: checker.read_choice(
            "log.format",
            text.format.as_ref(),
            &LOG_FORMATS,
            "json or text",
        ),
        level: checker.read_choice(
            "log.level",
            text.level.as_ref(),
            &LOG_LEVELS,
            expected_level,
        ),
    }
}
