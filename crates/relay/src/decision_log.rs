//! Rate-limited log lines about decisions on single requests.
//!
//! Refusals and failures have a higher limit than routine lines. The next line under the same
//! limit reports how many were left out.

use crate::{
    access_gate::AccessDenial, events, http1::request_handler::UnreadRequest,
    line_budget::LineBudget, relay_metrics,
};

use lagoonshore_coordination::forwarding::retry_priority::RetryPriority;
use lagoonshore_protocol::relay_messages::{NodeStatus, RelayResponse};
use lagoonshore_state::units::whole_millis;
use std::time::Duration;
use tracing::{info, warn};

/// Lines about refusals, retries and failures in one [`LINE_WINDOW`](crate::line_budget::LINE_WINDOW).
const FAILURE_LINES_MAX: u32 = 25;
/// Lines about routine decisions in one [`LINE_WINDOW`](crate::line_budget::LINE_WINDOW).
const ROUTINE_LINES_MAX: u32 = 1;
/// Lines about requests that were refused for their keys, in one
/// [`LINE_WINDOW`](crate::line_budget::LINE_WINDOW).
const DENIED_LINES_MAX: u32 = 5;
/// Lines about requests that were not read to their end, in one
/// [`LINE_WINDOW`](crate::line_budget::LINE_WINDOW).
const UNREAD_LINES_MAX: u32 = 10;
/// Status of a request for which there is no memory.
const NO_MEMORY_STATUS: u16 = 503;

/// `RequestTrace` holds the fields that log lines about a request have in common.
#[derive(Clone, Copy, Debug)]
pub struct RequestTrace<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Version of the document that defines the route.
    pub version: u64,
    /// Time since the request was received.
    pub elapsed: Duration,
    /// Time that the caller spent on earlier attempts; zero for the first one.
    pub spent: Duration,
    /// Upstream that the request was last sent to; empty if it was sent to none.
    pub instance: &'a str,
    /// Load that the node beside that upstream reported with its last reply.
    pub load: NodeStatus,
}

/// `DecisionLog` counts decisions on requests in the metrics and logs them.
#[derive(Debug)]
pub struct DecisionLog {
    failures: LineBudget,
    routine: LineBudget,
    denied: LineBudget,
    unread: LineBudget,
}

impl Default for DecisionLog {
    fn default() -> Self {
        Self {
            failures: LineBudget::new(FAILURE_LINES_MAX),
            routine: LineBudget::new(ROUTINE_LINES_MAX),
            denied: LineBudget::new(DENIED_LINES_MAX),
            unread: LineBudget::new(UNREAD_LINES_MAX),
        }
    }
}

impl DecisionLog {
    /// Logs that a request was refused and did not run; `retry_after` is the time after which its
    /// caller may retry.
    pub fn log_refused(&self, trace: &RequestTrace<'_>, reason: &str, retry_after: Duration) {
        relay_metrics::count_refused(reason);
        let Some(left_out) = self.failures.take() else {
            return;
        };
        info!(
            event = events::REQUEST_REFUSED,
            request = trace.id,
            route = trace.route,
            version = trace.version,
            instance = trace.instance,
            elapsed_ms = whole_millis(trace.elapsed),
            spent_ms = whole_millis(trace.spent),
            retry_ms = whole_millis(retry_after),
            in_use = trace.load.in_use,
            limit = trace.load.limit,
            queued = trace.load.queued,
            rate_wait_ms = trace.load.rate_wait_ms,
            reason,
            left_out,
            "request: refused, did not run"
        );
    }

    /// Logs that the request `id` was refused for its key.
    pub(crate) fn log_denied(&self, id: &str, route: &str, denial: &AccessDenial) {
        relay_metrics::count_refused(denial.reason);
        let Some(left_out) = self.denied.take() else {
            return;
        };
        info!(
            event = events::ACCESS_DENIED,
            request = id,
            route,
            status = denial.status,
            reason = denial.reason,
            left_out,
            "request: refused for its key"
        );
    }

    /// Logs that a request was refused before it was read to its end, with the `free` bytes of the memory
    /// of messages.
    pub fn log_unread(&self, request: UnreadRequest<'_>, free: usize) {
        let reason = request.reason.as_str();
        relay_metrics::count_unread(reason);
        if request.status == NO_MEMORY_STATUS {
            relay_metrics::count_refused("memory");
        }
        let Some(left_out) = self.unread.take() else {
            return;
        };
        warn!(
            event = events::REQUEST_UNREAD,
            request = request.id,
            caller = %request.caller,
            status = request.status,
            reason,
            free,
            left_out,
            "request: refused unread"
        );
    }

    /// Logs that a request got no complete response and may have run.
    pub fn log_failed(&self, trace: &RequestTrace<'_>, reason: &str) {
        relay_metrics::count_failed(reason);
        let Some(left_out) = self.failures.take() else {
            return;
        };
        warn!(
            event = events::REQUEST_FAILED,
            request = trace.id,
            route = trace.route,
            version = trace.version,
            instance = trace.instance,
            elapsed_ms = whole_millis(trace.elapsed),
            reason,
            left_out,
            "request: failed, may have run"
        );
    }

    /// Logs that a request is retried. `is_counted` says whether an upstream may have read it, so
    /// that the retry counts against the budget.
    pub fn log_retried(&self, trace: &RequestTrace<'_>, reason: &str, is_counted: bool) {
        relay_metrics::count_retry(is_counted);
        let Some(left_out) = self.failures.take() else {
            return;
        };
        info!(
            event = events::REQUEST_RETRIED,
            request = trace.id,
            route = trace.route,
            instance = trace.instance,
            elapsed_ms = whole_millis(trace.elapsed),
            reason,
            is_counted,
            left_out,
            "request: retried"
        );
    }

    /// Logs that a retry was refused because the retry budget of the local upstream is exhausted.
    pub fn log_retry_refused(&self, id: &str, priority: RetryPriority) {
        relay_metrics::count_retry_refused();
        let Some(left_out) = self.failures.take() else {
            return;
        };
        info!(
            event = events::RETRY_REFUSED,
            request = id,
            importance = priority.importance.0,
            calls_before = priority.calls_before,
            calls_left = priority.calls_left,
            left_out,
            "request: retry refused, budget exhausted"
        );
    }

    /// Logs that an upstream answered a request.
    pub fn log_answered(&self, trace: &RequestTrace<'_>, response: &RelayResponse) {
        relay_metrics::record_request(trace.elapsed, response.is_failure());
        let Some(left_out) = self.routine.take() else {
            return;
        };
        info!(
            event = events::REQUEST_ANSWERED,
            request = trace.id,
            route = trace.route,
            version = trace.version,
            instance = trace.instance,
            elapsed_ms = whole_millis(trace.elapsed),
            status = response.status,
            left_out,
            "request: answered"
        );
    }

    /// Logs that the caller of a request disconnected before its response.
    pub fn log_caller_left(&self, id: &str, route: &str, elapsed: Duration) {
        relay_metrics::count_caller_left();
        let Some(left_out) = self.routine.take() else {
            return;
        };
        info!(
            event = events::CALLER_LEFT,
            request = id,
            route,
            elapsed_ms = whole_millis(elapsed),
            left_out,
            "request: caller disconnected"
        );
    }

    /// Logs that the local upstream gave no complete response; `stage` is the step that failed.
    pub fn log_upstream_failed(&self, id: &str, stage: &str, cause: &str) {
        let Some(left_out) = self.failures.take() else {
            return;
        };
        warn!(
            event = events::UPSTREAM_FAILED,
            request = id,
            stage,
            cause,
            left_out,
            "upstream: no complete response"
        );
    }
}
