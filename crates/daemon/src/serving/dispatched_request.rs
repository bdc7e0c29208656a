//! A request at the upstream, from its dispatch to its end.

use crate::{
    node::{SharedNode, admission_gate::SlotPermit},
    observation::node_metrics,
};

use lagoonshore_coordination::{
    at_most_once::child_timer::ChildTimer,
    request::call_table::ServedCall,
    retries::{SharedTokens, retry_detector::RetryDetector},
};
use lagoonshore_protocol::{headers, messages::CallRequest};
use lagoonshore_state::{
    ids::{CallId, ClassName},
    service_cost::ServiceSample,
    units::TokenCount,
};
use std::time::Duration;
use tokio::time::Instant;

/// Lowest HTTP status that counts as a failure of the upstream.
const SERVER_ERROR_MIN: u16 = 500;

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatchEnd {
    /// No complete response came, or the future of the request was dropped.
    Lost,
    /// A complete response with this status came.
    Answered(u16),
    /// The upstream received nothing.
    Undelivered,
}

/// `DispatchedRequest` keeps a request in the call table and holds its slot until it ends, and
/// records its service time.
pub struct DispatchedRequest {
    node: SharedNode,
    permit: Option<SlotPermit>,
    id: CallId,
    class: ClassName,
    started: Instant,
    deadline: Instant,
    end: DispatchEnd,
}

impl DispatchedRequest {
    /// Starts a dispatch; `permit` is `None` on a node in pass-through mode.
    #[must_use]
    pub fn start(
        node: &SharedNode,
        permit: Option<SlotPermit>,
        request: &CallRequest,
        class: ClassName,
        deadline: Instant,
    ) -> Self {
        let call = ServedCall {
            importance: request.importance,
            deadline,
            caller: request.caller,
            retry_tokens: SharedTokens::new(request.tokens),
            retry_detector: RetryDetector::default(),
            key: headers::find(&request.headers, headers::IDEMPOTENCY_KEY).map(Into::into),
            child_calls: 0,
            class: class.clone(),
            child_timer: ChildTimer::default(),
        };
        let id = node.calls.borrow_mut().open(call);
        Self {
            node: node.clone(),
            permit,
            id,
            class,
            started: Instant::now(),
            deadline,
            end: DispatchEnd::Lost,
        }
    }

    /// Call id that the upstream sends back with its own calls.
    #[must_use]
    pub const fn id(&self) -> CallId {
        self.id
    }

    /// Takes the unspent tokens of the request; child calls get none from then on.
    #[must_use]
    pub fn close_tokens(&self) -> TokenCount {
        let calls = self.node.calls.borrow();
        let call = calls.get(self.id);
        call.map_or(TokenCount(0), |call| call.retry_tokens.close())
    }

    /// Ends the request with a complete response.
    pub fn finish_answered(mut self, status: u16) {
        self.end = DispatchEnd::Answered(status);
    }

    /// Ends the request because the upstream refuses connections; admission restarts with few
    /// slots.
    pub fn finish_undelivered(mut self) {
        self.end = DispatchEnd::Undelivered;
        if let Some(permit) = &self.permit {
            permit.slow_start();
        }
    }

    fn sample(&self, now: Instant) -> ServiceSample {
        let calls = self.node.calls.borrow();
        let children = calls.get(self.id).map(|call| call.child_timer.total(now));
        let total = now - self.started;
        let is_good = |status| status < SERVER_ERROR_MIN;
        ServiceSample {
            total,
            own: total.saturating_sub(children.unwrap_or(Duration::ZERO)),
            succeeded: now <= self.deadline
                && matches!(self.end, DispatchEnd::Answered(status) if is_good(status)),
        }
    }
}

impl Drop for DispatchedRequest {
    fn drop(&mut self) {
        let now = Instant::now();
        let sample = self.sample(now);
        self.node.calls.borrow_mut().close(self.id);
        if self.end == DispatchEnd::Undelivered {
            return;
        }
        let is_answered = self.end != DispatchEnd::Lost;
        node_metrics::record_upstream(sample.total, is_answered);
        if let Some(permit) = &self.permit {
            permit.record(&self.class, sample);
        }
        if !sample.succeeded {
            let micros = u64::try_from(sample.total.as_micros()).unwrap_or(u64::MAX);
            self.node.counters.borrow_mut().wasted_micros += micros;
        }
    }
}
