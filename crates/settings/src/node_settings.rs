//! Settings of one node.

use crate::error::{Result, SettingsError, UnreadableSnafu};

use compact_str::CompactString;
use serde::Deserialize;
use snafu::ResultExt;
use std::{net::SocketAddr, path::Path};

/// `NodeSettings` tells a node where it stands and which addresses it uses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
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
    #[serde(default)]
    pub log: LogSettings,
    /// Whether decisions are taken.
    #[serde(default)]
    pub control: ControlMode,
}

/// `ControlMode` says whether a node takes decisions.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum ControlMode {
    /// The node admits, refuses, routes and repeats by its policies.
    #[default]
    Enforce,
    /// The node passes every request on, to any listed instance: the baseline of measurements.
    PassThrough,
}

/// `ListenSettings` holds the address of each door; port 0 takes any free one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
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
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Path of its health endpoint.
    #[serde(default = "default_health")]
    pub health: CompactString,
}

/// `LogSettings` says how logs are written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of a line.
    pub format: LogFormat,
    /// Least level that is written.
    pub level: CompactString,
}

/// `LogFormat` is the format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Text,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            level: CompactString::const_new("info"),
        }
    }
}

fn default_health() -> CompactString {
    CompactString::const_new("/health")
}

/// Levels that `log.level` may name.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

impl NodeSettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// Names the file, or the line or key at fault.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Reads settings from text.
    ///
    /// # Errors
    /// Names the line or key at fault.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|error| syntax(&error))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        for (key, name) in [
            ("instance", &self.instance),
            ("service", &self.service),
            ("zone", &self.zone),
            ("region", &self.region),
        ] {
            check_value(key, name, !name.is_empty(), "a name")?;
        }
        check_value(
            "platform",
            "[]",
            !self.platform.is_empty(),
            "one address at least",
        )?;
        let health = &self.upstream.health;
        check_value(
            "upstream.health",
            health,
            health.starts_with('/'),
            "a path from /",
        )?;
        let level = self.log.level.as_str();
        check_value(
            "log.level",
            level,
            LEVELS.contains(&level),
            &LEVELS.join(", "),
        )
    }
}

fn check_value(key: &str, found: &str, holds: bool, expected: &str) -> Result<()> {
    if holds {
        return Ok(());
    }
    let (key, found, expected) = (key.to_owned(), found.to_owned(), expected.to_owned());
    Err(SettingsError::Value {
        key,
        found,
        expected,
    })
}

fn syntax(error: &serde_saphyr::Error) -> SettingsError {
    let location = error.location().unwrap_or(serde_saphyr::Location::UNKNOWN);
    let message = error
        .to_string()
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned();
    SettingsError::Syntax {
        line: location.line(),
        column: location.column(),
        message,
    }
}
