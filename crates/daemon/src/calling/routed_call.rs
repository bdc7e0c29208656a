//! A call to another service, and the rules that hold for every way to send it.

use crate::node::SharedNode;

use lagoonshore_coordination::{
    request::{outcome::CallOutcome, request_lifecycle::CallRefusal},
    retries::SharedTokens,
};
use lagoonshore_protocol::messages::CallRequest;
use lagoonshore_state::{ids::ClassName, instance_table::InstanceKey};
use tokio::time::Instant;

/// `RoutedCall` is a call with the limits on its retries.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// The call; its tokens are set for each attempt.
    pub request: CallRequest,
    /// Time by which the response must arrive.
    pub deadline: Instant,
    /// Whether the call may be retried when its outcome is unknown.
    pub idempotent: bool,
    /// Class of the parent request; `None` for a call without one.
    pub parent_class: Option<ClassName>,
    /// Instances that were tried, in order.
    pub tried: Vec<InstanceKey>,
}

/// Combines the refusals of successive attempts: a call that may have run once is never `not-run`.
#[must_use]
pub const fn combine_refusals(before: CallRefusal, latest: CallRefusal) -> CallRefusal {
    match before.outcome {
        CallOutcome::Unknown => CallRefusal {
            outcome: CallOutcome::Unknown,
            reason: latest.reason,
        },
        _ => latest,
    }
}

pub(crate) fn can_retry(call: &RoutedCall, refusal: CallRefusal) -> bool {
    let is_safe = refusal.is_not_run() || call.idempotent;
    is_safe && refusal.reason.can_retry_elsewhere() && Instant::now() < call.deadline
}

pub(crate) fn spend_retry(node: &SharedNode, retry_tokens: &SharedTokens) -> bool {
    !node.is_pass_through() && node.retries.borrow_mut().spend_retry(retry_tokens)
}
