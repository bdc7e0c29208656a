//! Problem bodies of refusals (RFC 9457).

use crate::headers::{self, HeaderField};

use bytes::Bytes;
use lagoonshore_coordination::request::{outcome::CallOutcome, request_lifecycle::CallRefusal};
use serde::Serialize;
use std::time::Duration;

/// Media type of a problem body.
pub const MEDIA_TYPE: &str = "application/problem+json";
/// Prefix of the problem type URI; the reason code follows.
const TYPE_PREFIX: &str = "urn:lagoonshore:problem:";

#[derive(Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    outcome: CallOutcome,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
}

/// Returns the problem body of a refusal; `detail` describes this occurrence and may be empty.
#[must_use]
pub fn body(refusal: CallRefusal, detail: &str) -> Bytes {
    let reason = refusal.reason.as_str();
    let problem = ProblemBody {
        r#type: format!("{TYPE_PREFIX}{reason}"),
        title: reason,
        status: refusal.reason.status(),
        outcome: refusal.outcome,
        detail,
    };
    serde_json::to_vec(&problem).map_or_else(|_| Bytes::new(), Bytes::from)
}

/// Returns the header fields of a refusal; `retry_after` is sent in whole seconds, rounded down
/// (RFC 9110, section 10.2.3).
#[must_use]
pub fn fields(refusal: CallRefusal, retry_after: Option<Duration>) -> Vec<HeaderField> {
    let mut fields = vec![
        HeaderField::new("content-type", MEDIA_TYPE),
        HeaderField::new(headers::OUTCOME, refusal.outcome.as_str()),
        HeaderField::new(headers::REASON, refusal.reason.as_str()),
    ];
    if let Some(delay) = retry_after {
        fields.push(HeaderField::new(
            headers::RETRY_AFTER,
            &delay.as_secs().to_string(),
        ));
    }
    fields
}
