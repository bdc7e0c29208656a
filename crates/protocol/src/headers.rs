//! Header fields of the callers' interface.

use lagoonshore_state::data_type;

use compact_str::CompactString;

/// Names one piece of irreversible work.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Milliseconds for which the caller waits, from now.
pub const TIMEOUT_MS: &str = "lagoonshore-timeout-ms";
/// Opaque caller id, used for fairness.
pub const CALLER: &str = "lagoonshore-caller";
/// Ties outbound calls to the request that the upstream is serving.
pub const CALL: &str = "lagoonshore-call";
/// What the system vouches for about the request.
pub const OUTCOME: &str = "lagoonshore-outcome";
/// Stable code of a refusal.
pub const REASON: &str = "lagoonshore-reason";
/// Key that the caller may use for its next non-idempotent request.
pub const KEY_OFFER: &str = "lagoonshore-key-offer";
/// Seconds after which trying again can help (RFC 9110, section 10.2.3).
pub const RETRY_AFTER: &str = "retry-after";

/// Path at which the inbound door offers keys.
pub const KEYS_PATH: &str = "/lagoonshore/keys";

/// Prefix of the header fields that belong to the system.
const SYSTEM_PREFIX: &str = "lagoonshore-";
/// Header fields that concern one connection only (RFC 9110, section 7.6.1).
pub const CONNECTION_FIELDS: [&str; 8] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

data_type! {
    /// `HeaderField` is one header field; the name is in lower case.
    #[derive(Eq)]
    pub struct HeaderField {
        /// Name, in lower case.
        pub name: CompactString,
        /// Value, as received.
        pub value: bytes::Bytes,
    }
}

impl HeaderField {
    /// Creates a field from text.
    #[must_use]
    pub fn new(name: &str, value: &str) -> Self {
        Self {
            name: name.into(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        }
    }
}

/// First value of the field `name`, if it is text.
#[must_use]
pub fn find<'a>(fields: &'a [HeaderField], name: &str) -> Option<&'a str> {
    let field = fields.iter().find(|field| field.name == name)?;
    std::str::from_utf8(&field.value).ok()
}

/// Keeps the fields that are relayed: neither those of one connection nor the system's own. The host is
/// named anew.
#[must_use]
pub fn forwardable(fields: Vec<HeaderField>) -> Vec<HeaderField> {
    let should_forward = |field: &HeaderField| {
        let name = field.name.as_str();
        let is_excluded = name == "host" || CONNECTION_FIELDS.contains(&name);
        !name.starts_with(SYSTEM_PREFIX) && !is_excluded
    };
    fields.into_iter().filter(should_forward).collect()
}
