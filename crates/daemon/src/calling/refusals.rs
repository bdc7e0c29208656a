//! Converts results to HTTP responses.

use lagoonshore_coordination::{
    request::{
        outcome::{CallOutcome, RefusalReason},
        request_lifecycle::{CallRefusal, RequestLifecycle},
    },
    retries::retry_after,
};
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::{CallResult, UpstreamResponse},
    problem,
};
use lagoonshore_transport::http_listener::{BodyError, HttpResponse};
use rand::{SeedableRng, rngs::SmallRng};
use std::{cell::RefCell, time::Duration};

thread_local! {
    /// Source of jitter; a node runs on one thread.
    static JITTER: RefCell<SmallRng> =
        RefCell::new(SmallRng::seed_from_u64(getrandom::u64().unwrap_or_default()));
}

/// Builds the response for a result.
#[must_use]
pub fn to_response(result: CallResult) -> HttpResponse {
    match result {
        CallResult::Answered(response) => relay(response),
        CallResult::Refused(refusal) => refuse(refusal, ""),
    }
}

/// Builds the response for a refusal; `detail` may be empty.
#[must_use]
pub fn refuse(refusal: CallRefusal, detail: &str) -> HttpResponse {
    HttpResponse {
        status: refusal.reason.status(),
        headers: problem::fields(refusal, retry_after(refusal.reason)),
        body: problem::body(refusal, detail),
    }
}

fn retry_after(reason: RefusalReason) -> Option<Duration> {
    JITTER.with_borrow_mut(|random| retry_after::delay(reason, random))
}

/// Refusal of a request before its admission.
#[must_use]
pub const fn on_arrival(reason: RefusalReason) -> CallRefusal {
    RequestLifecycle::arrived().refuse(reason)
}

/// Builds the response for a request whose body was too large, truncated or too slow.
#[must_use]
pub fn refuse_body(error: BodyError) -> HttpResponse {
    match error {
        BodyError::TooLarge(bound) => {
            let detail = format!("the body is larger than {bound} bytes");
            refuse(on_arrival(RefusalReason::TooLarge), &detail)
        }
        BodyError::Truncated => refuse(
            on_arrival(RefusalReason::BadRequest),
            "the body ended early or came too slowly",
        ),
    }
}

fn relay(response: UpstreamResponse) -> HttpResponse {
    let mut fields = headers::forwardable(response.headers);
    fields.push(HeaderField::new(
        headers::OUTCOME,
        CallOutcome::Ran.as_str(),
    ));
    HttpResponse {
        status: response.status,
        headers: fields,
        body: response.body,
    }
}
