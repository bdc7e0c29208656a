//! Settings of one node.

use crate::{
    error::{self, Result, UnreadableSnafu},
    settings_text::{ListenText, LogText, SettingsText, SpannedText, UpstreamText},
    value_check::ValueChecker,
};

use compact_str::CompactString;
use serde_saphyr::Spanned;
use snafu::ResultExt;
use std::{net::SocketAddr, path::Path};

/// Path of the health endpoint where the settings name none.
const DEFAULT_HEALTH: &str = "/health";
/// What is expected of the admin door.
const LOOPBACK: &str = "a loopback address, or remote_admin: true beside it";

/// `NodeSettings` tells a node where it stands and which addresses it uses.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the upstream instance that the node stands beside.
    pub instance: CompactString,
    /// Service of the upstream.
    pub service: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// Region.
    pub region: CompactString,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The upstream.
    pub upstream: UpstreamSettings,
    /// Addresses of the platform's service, tried in order.
    pub platform: Vec<SocketAddr>,
    /// Logs.
    pub log: LogSettings,
    /// Whether decisions are taken.
    pub control: ControlMode,
}

/// `ControlMode` says whether a node takes decisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlMode {
    /// The node admits, refuses, routes and repeats by its policies.
    #[default]
    Enforce,
    /// The node passes every request on, to any listed instance: the baseline of measurements.
    PassThrough,
}

/// `ListenSettings` holds the address of each door; port 0 takes any free one.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// Door for callers.
    pub inbound: SocketAddr,
    /// Door for the calls that the upstream makes.
    pub outbound: SocketAddr,
    /// Door for other nodes.
    pub peer: SocketAddr,
    /// Door for operators.
    pub admin: SocketAddr,
}

/// `UpstreamSettings` says where the upstream listens.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Path of its health endpoint.
    pub health: CompactString,
}

/// `LogSettings` says how logs are written.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogSettings {
    /// Format of a line.
    pub format: LogFormat,
    /// Least level that is written.
    pub level: LogLevel,
}

/// `LogFormat` is the format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Text,
}

/// `LogLevel` is the least level that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults that the node copes with, and all above.
    Warn,
    /// Changes of state, and all above.
    #[default]
    Info,
    /// Decisions, and all above.
    Debug,
    /// Everything.
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
    /// Name of the level.
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
        let text: SettingsText =
            serde_saphyr::from_str(text).map_err(|fault| error::syntax(&fault))?;
        let mut checker = ValueChecker::default();
        let settings = Self {
            instance: checker.name("instance", &text.instance),
            service: checker.name("service", &text.service),
            zone: checker.name("zone", &text.zone),
            region: checker.name("region", &text.region),
            listen: listen(&mut checker, &text.listen),
            upstream: upstream(&mut checker, &text.upstream),
            platform: platform(&mut checker, &text.platform),
            log: log(&mut checker, &text.log),
            control: checker.choice(
                "control",
                text.control.as_ref(),
                &CONTROL_MODES,
                "enforce or pass-through",
            ),
        };
        checker.finish(settings)
    }
}

fn listen(checker: &mut ValueChecker, text: &ListenText) -> ListenSettings {
    let settings = ListenSettings {
        inbound: checker.address("listen.inbound", &text.inbound),
        outbound: checker.address("listen.outbound", &text.outbound),
        peer: checker.address("listen.peer", &text.peer),
        admin: checker.address("listen.admin", &text.admin),
    };
    let admin = &text.admin;
    let is_local = settings.admin.ip().is_loopback() || text.remote_admin;
    if !is_local && admin.value.parse::<SocketAddr>().is_ok() {
        checker.fault(admin.referenced, "listen.admin", &admin.value, LOOPBACK);
    }
    settings
}

fn upstream(checker: &mut ValueChecker, text: &UpstreamText) -> UpstreamSettings {
    let health = text
        .health
        .as_ref()
        .map_or(DEFAULT_HEALTH, |health| health.value.as_str());
    if let Some(health) = text
        .health
        .as_ref()
        .filter(|health| !health.value.starts_with('/'))
    {
        checker.fault(
            health.referenced,
            "upstream.health",
            &health.value,
            "a path that starts with /",
        );
    }
    UpstreamSettings {
        address: checker.address("upstream.address", &text.address),
        health: health.into(),
    }
}

fn platform(checker: &mut ValueChecker, text: &Spanned<Vec<SpannedText>>) -> Vec<SocketAddr> {
    if text.value.is_empty() {
        checker.fault(text.referenced, "platform", "[]", "one address at least");
    }
    let addresses = text.value.iter().enumerate();
    addresses
        .map(|(index, text)| checker.address(&format!("platform[{index}]"), text))
        .collect()
}

fn log(checker: &mut ValueChecker, text: &LogText) -> LogSettings {
    let levels = "error, warn, info, debug or trace";
    LogSettings {
        format: checker.choice(
            "log.format",
            text.format.as_ref(),
            &LOG_FORMATS,
            "json or text",
        ),
        level: checker.choice("log.level", text.level.as_ref(), &LOG_LEVELS, levels),
    }
}
