//! Header fields of the interface to callers and upstreams.

use lagoonshore_state::data_type;

use compact_str::CompactString;

/// Idempotency key: requests with the same key run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time for which the caller waits for the response, in milliseconds from the arrival of the
/// request.
pub const TIMEOUT_MS: &str = "lagoonshore-timeout-ms";
/// Opaque id of the caller, used to treat callers fairly.
pub const CALLER: &str = "lagoonshore-caller";
/// Id of the request that the upstream is serving; the upstream copies it to the calls that it
/// makes for that request.
pub const CALL: &str = "lagoonshore-call";
/// Outcome of the request: whether it ran, did not run, or may have run.
pub const OUTCOME: &str = "lagoonshore-outcome";
/// Stable code of the reason for a refusal.
pub const REASON: &str = "lagoonshore-reason";
/// Idempotency key that the caller may use for its next non-idempotent request.
pub const KEY_OFFER: &str = "lagoonshore-key-offer";
/// Seconds after which a retry may succeed (RFC 9110, section 10.2.3).
pub const RETRY_AFTER: &str = "retry-after";

/// Path at which the inbound listener offers idempotency keys.
pub const KEYS_PATH: &str = "/lagoonshore/keys";

/// Prefix of the header fields that the system defines.
const SYSTEM_PREFIX: &str = "lagoonshore-";
/// Header fields that describe one connection and are not forwarded (RFC 9110, section 7.6.1).
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
    /// `HeaderField` is one header field of a request or response.
    #[derive(Eq)]
    pub struct HeaderField {
        /// Name in lower case.
        pub name: CompactString,
        /// Value as received, not necessarily UTF-8.
        pub value: bytes::Bytes,
    }
}

impl HeaderField {
    /// Creates a field; `name` must be in lower case.
    #[must_use]
    pub fn new(name: &str, value: &str) -> Self {
        Self {
            name: name.into(),
            value: bytes::Bytes::copy_from_slice(value.as_bytes()),
        }
    }
}

/// Returns the value of the first field called `name` (in lower case), if it is valid UTF-8.
#[must_use]
pub fn find<'a>(fields: &'a [HeaderField], name: &str) -> Option<&'a str> {
    let field = fields.iter().find(|field| field.name == name)?;
    std::str::from_utf8(&field.value).ok()
}

/// Returns the fields to forward: all but those of one connection, those of the system and `host`,
/// which is set anew for the next hop.
#[must_use]
pub fn forwardable(fields: Vec<HeaderField>) -> Vec<HeaderField> {
    let should_forward = |field: &HeaderField| {
        let name = field.name.as_str();
        let is_excluded = name == "host" || CONNECTION_FIELDS.contains(&name);
        !name.starts_with(SYSTEM_PREFIX) && !is_excluded
    };
    fields.into_iter().filter(should_forward).collect()
}
