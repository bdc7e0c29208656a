//! Log lines of decisions on single requests, bounded in number.
//!
//! Refusals and failures have a larger bound than routine lines. What a bound left out is counted
//! in the next line of its kind, so that nothing is lost without a trace.

use crate::{events, relay_metrics};

use lagoonshore_coordination::forwarding::arrival_budget::RetryPriority;
use lagoonshore_protocol::relay_messages::{NodeStatus, RelayResponse};
use lagoonshore_state::units::whole_millis;
use std::{cell::Cell, time::Duration};
use tokio::time::Instant;
use tracing::{info, warn};

/// Lines of refusals and failures in one second.
const FAULT_LINES: u32 = 25;
/// Lines of routine decisions in one second.
const ROUTINE_LINES: u32 = 1;
/// Time for which a bound is counted.
const LINE_TIME: Duration = Duration::from_secs(1);

/// `RequestTrace` is what every line on a request tells.
#[derive(Clone, Copy, Debug)]
pub struct RequestTrace<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// Version of the document that the route stems from.
    pub version: u64,
    /// Time since it was received.
    pub elapsed: Duration,
    /// Upstream that it went to last; empty if to none.
    pub instance: &'a str,
    /// Load that the node beside that upstream told with its last reply.
    pub load: NodeStatus,
}

/// `DecisionLog` writes lines on requests.
#[derive(Debug)]
pub struct DecisionLog {
    faults: LineBudget,
    routine: LineBudget,
}

#[derive(Debug)]
struct LineBudget {
    /// Lines in one second.
    lines: u32,
    since: Cell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl Default for DecisionLog {
    fn default() -> Self {
        Self {
            faults: LineBudget::new(FAULT_LINES),
            routine: LineBudget::new(ROUTINE_LINES),
        }
    }
}

impl LineBudget {
    const fn new(lines: u32) -> Self {
        Self {
            lines,
            since: Cell::new(None),
            written: Cell::new(0),
            left_out: Cell::new(0),
        }
    }

    /// Lines left out before this one, or `None` if this one is left out as well.
    fn take(&self) -> Option<u64> {
        let now = Instant::now();
        let since = self.since.get();
        if since.is_none_or(|since| now - since >= LINE_TIME) {
            self.since.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= self.lines {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.left_out.take())
    }
}

impl DecisionLog {
    /// A request was refused before it ran.
    pub fn log_refused(&self, trace: &RequestTrace<'_>, reason: &str, retry: Duration) {
        relay_metrics::count_refused(reason);
        let Some(left_out) = self.faults.take() else {
            return;
        };
        info!(
            event = events::REQUEST_REFUSED,
            request = trace.id,
            route = trace.route,
            version = trace.version,
            instance = trace.instance,
            elapsed_ms = whole_millis(trace.elapsed),
            retry_ms = whole_millis(retry),
            in_use = trace.load.in_use,
            limit = trace.load.limit,
            queued = trace.load.queued,
            reason,
            left_out,
            "request: refused, not run"
        );
    }

    /// A request got no whole answer and may have run.
    pub fn log_failed(&self, trace: &RequestTrace<'_>, reason: &str) {
        relay_metrics::count_failed(reason);
        let Some(left_out) = self.faults.take() else {
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

    /// A request is sent again.
    pub fn log_retried(&self, trace: &RequestTrace<'_>, reason: &str, is_counted: bool) {
        relay_metrics::count_retry(is_counted);
        let Some(left_out) = self.faults.take() else {
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
            "request: sent again"
        );
    }

    /// A repeat was refused beside the upstream, whose budget of repeats is used up.
    pub fn log_retry_refused(&self, id: &str, claim: RetryPriority) {
        relay_metrics::count_retry_refused();
        let Some(left_out) = self.faults.take() else {
            return;
        };
        info!(
            event = events::RETRY_REFUSED,
            request = id,
            importance = claim.importance.0,
            calls_before = claim.calls_before,
            left_out,
            "request: not repeated, the budget is used up"
        );
    }

    /// A request was answered by an upstream.
    pub fn log_answered(&self, trace: &RequestTrace<'_>, answer: &RelayResponse) {
        relay_metrics::record_request(trace.elapsed, answer.is_failure());
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
            status = answer.status,
            left_out,
            "request: answered"
        );
    }

    /// The caller of a request left before its answer.
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
            "request: caller left"
        );
    }

    /// The upstream gave no whole answer.
    pub fn log_upstream_failed(&self, id: &str, stage: &str, cause: &str) {
        let Some(left_out) = self.faults.take() else {
            return;
        };
        warn!(
            event = events::UPSTREAM_FAILED,
            request = id,
            stage,
            cause,
            left_out,
            "upstream: no whole answer"
        );
    }
}
