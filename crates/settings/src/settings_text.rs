//! Settings as written, before their values are checked. Values keep their location in the text, so
//! that every error can name its line.

use compact_str::CompactString;
use serde::Deserialize;
use serde_saphyr::Spanned;

/// `SpannedText` is a string value with its location in the text.
pub type SpannedText = Spanned<CompactString>;

/// `SettingsText` is a complete settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsText {
    /// Name of the upstream instance beside which the node runs.
    pub instance: SpannedText,
    /// Service of the upstream.
    pub service: SpannedText,
    /// Availability zone of the instance.
    pub zone: SpannedText,
    /// Region of the instance.
    pub region: SpannedText,
    /// Addresses to listen on.
    pub listen: ListenText,
    /// Address and health endpoint of the upstream.
    pub upstream: UpstreamText,
    /// Addresses of the platform service.
    pub platform: Spanned<Vec<SpannedText>>,
    /// Format and level of logs.
    #[serde(default)]
    pub log: LogText,
    /// Whether policies are enforced.
    pub control: Option<SpannedText>,
}

/// `ListenText` holds the address of each listener.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenText {
    /// Listener for requests of callers.
    pub inbound: SpannedText,
    /// Listener for the calls that the upstream makes.
    pub outbound: SpannedText,
    /// Listener for other nodes.
    pub peer: SpannedText,
    /// Listener for operators.
    pub admin: SpannedText,
    /// Whether the admin listener may bind an address other than loopback.
    #[serde(default)]
    pub remote_admin: bool,
}

/// `UpstreamText` holds the address and health endpoint of the upstream.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamText {
    /// Address of the upstream.
    pub address: SpannedText,
    /// Path of the health endpoint.
    pub health: Option<SpannedText>,
}

/// `LogText` holds the format and level of logs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogText {
    /// Format of log lines.
    pub format: Option<SpannedText>,
    /// Least severe level that is logged.
    pub level: Option<SpannedText>,
}
