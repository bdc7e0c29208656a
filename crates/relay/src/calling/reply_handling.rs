//! What the reply to an attempt means for its request.

use super::{call_progress::CallProgress, routed_request::RoutedRequest};

use crate::serving::running_table::CallTotals;

use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_protocol::relay_messages::{RelayReply, RelayResponse, RelayResult};
use lagoonshore_settings::ControlMode;
use std::time::Duration;

/// Processes a reply; returns the response if it is final.
pub(crate) fn process(
    request: &RoutedRequest,
    progress: &mut CallProgress,
    reply: RelayReply,
    control: ControlMode,
) -> Option<RelayResponse> {
    progress.load = reply.status;
    progress.nested_calls.add(CallTotals {
        wait: Duration::from_millis(reply.wait_ms.into()),
        calls: reply.calls,
        worst_failure: reply.worst_failure,
    });
    match reply.result {
        RelayResult::Answered(response) if !response.is_whole() => {
            progress.record_lost(RefusalReason::BrokenAnswer);
            None
        }
        RelayResult::Answered(response) => {
            let is_exhausted = reply.worst_failure.is_exhausted();
            let can_retry = request.route.is_idempotent && response.is_failure() && !is_exhausted;
            progress.record_delivery();
            if !can_retry || control == ControlMode::PassThrough {
                return Some(response);
            }
            progress.may_have_run = true;
            progress.reason = RefusalReason::BrokenAnswer;
            progress.failure = Some(response);
            None
        }
        RelayResult::Refused(refusal) => {
            progress.record_refusal(refusal);
            None
        }
    }
}
