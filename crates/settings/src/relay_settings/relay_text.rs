//! Layout of the settings of a forwarding node in YAML.

use crate::settings_text::SpannedText;

use serde::Deserialize;
use serde_saphyr::Spanned;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RelayText {
    pub(super) node: SpannedText,
    pub(super) service: SpannedText,
    pub(super) zone: SpannedText,
    pub(super) region: SpannedText,
    pub(super) listen: ListenText,
    pub(super) upstream: SpannedText,
    pub(super) store: SpannedText,
    pub(super) settle_seconds: Option<Spanned<f64>>,
    pub(super) drain_seconds: Option<Spanned<f64>>,
    pub(super) apply_seconds: Option<Spanned<f64>>,
    pub(super) heartbeat_seconds: Option<Spanned<f64>>,
    pub(super) revocation_strict: Option<Spanned<bool>>,
    pub(super) revocation_seconds: Option<Spanned<f64>>,
    pub(super) repeats: RetryText,
    pub(super) quota: Option<QuotaText>,
    pub(super) zones: Option<ZoneText>,
    pub(super) grace_seconds: Spanned<f64>,
    pub(super) address_reuse_seconds: Spanned<f64>,
    pub(super) memory_mib: Spanned<f64>,
    pub(super) descriptors: Option<Spanned<f64>>,
    pub(super) caller_connections: Option<Spanned<f64>>,
    pub(super) body_seconds: Option<Spanned<f64>>,
    pub(super) body_bytes_per_second: Option<Spanned<f64>>,
    pub(super) response_seconds: Option<Spanned<f64>>,
    pub(super) response_bytes_per_second: Option<Spanned<f64>>,
    pub(super) log: Option<SpannedText>,
    pub(super) control: Option<SpannedText>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListenText {
    pub(super) callers: SpannedText,
    pub(super) ready: SpannedText,
    pub(super) peers: SpannedText,
    pub(super) admin: SpannedText,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RetryText {
    pub(super) ratio: Spanned<f64>,
    pub(super) slack: Spanned<f64>,
    pub(super) window_seconds: Spanned<f64>,
    pub(super) earlier_windows: Option<bool>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct QuotaText {
    pub(super) window_seconds: Spanned<f64>,
    pub(super) overage: Spanned<f64>,
    pub(super) slack: Spanned<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ZoneText {
    pub(super) leave_cost_ms: Option<Spanned<f64>>,
}
