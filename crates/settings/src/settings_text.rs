//! The form of settings as written, before their values are checked. Values keep their place in
//! the text, so that every fault can name its line.

use compact_str::CompactString;
use serde::Deserialize;
use serde_saphyr::Spanned;

/// `SpannedText` is a value with its place in the text.
pub type SpannedText = Spanned<CompactString>;

/// `SettingsText` is the whole of the settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsText {
    /// Name of the instance.
    pub instance: SpannedText,
    /// Service of the upstream.
    pub service: SpannedText,
    /// Availability zone.
    pub zone: SpannedText,
    /// Region.
    pub region: SpannedText,
    /// Addresses to listen on.
    pub listen: ListenText,
    /// The upstream.
    pub upstream: UpstreamText,
    /// Addresses of the platform.
    pub platform: Spanned<Vec<SpannedText>>,
    /// Logs.
    #[serde(default)]
    pub log: LogText,
    /// Whether decisions are taken.
    pub control: Option<SpannedText>,
}

/// `ListenText` holds the addresses to listen on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenText {
    /// Door for callers.
    pub inbound: SpannedText,
    /// Door for the calls that the upstream makes.
    pub outbound: SpannedText,
    /// Door for other nodes.
    pub peer: SpannedText,
    /// Door for operators.
    pub admin: SpannedText,
    /// Whether the admin door may listen beyond the loopback interface.
    #[serde(default)]
    pub remote_admin: bool,
}

/// `UpstreamText` says where the upstream listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamText {
    /// Address of the upstream.
    pub address: SpannedText,
    /// Path of its health endpoint.
    pub health: Option<SpannedText>,
}

/// `LogText` says how logs are written.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogText {
    /// Format of a line.
    pub format: Option<SpannedText>,
    /// Least level that is written.
    pub level: Option<SpannedText>,
}
