//! A call on its way, and what holds for all ways to send it.

use crate::node::SharedNode;

use lagoonshore_coordination::{
    request::{outcome::CallOutcome, request_lifecycle::CallRefusal},
    retries::SharedTokens,
};
use lagoonshore_protocol::messages::CallRequest;
use lagoonshore_state::{ids::ClassName, instance_table::InstanceKey};
use tokio::time::Instant;

/// `RoutedCall` is a call with what bounds its repeats.
#[derive(Clone, Debug)]
pub struct RoutedCall {
    /// The call; its tokens are set for each try.
    pub request: CallRequest,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
    /// Whether the call may be sent again when its outcome is unknown.
    pub idempotent: bool,
    /// Class of the request that the call is made for, if it is made for one.
    pub parent_class: Option<ClassName>,
    /// Instances that were tried before.
    pub tried: Vec<InstanceKey>,
}

/// Joins the refusals of several tries: a call that may have run once is never `not-run`.
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
