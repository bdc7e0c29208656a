//! Retry budget of the local upstream.

use crate::decision_log::DecisionLog;

use lagoonshore_coordination::forwarding::{
    arrival_budget::ArrivalBudget, retry_priority::RetryPriority, retry_quota::RetryQuota,
};
use lagoonshore_protocol::relay_messages::RelayRequest;
use lagoonshore_settings::{ControlMode, RelaySettings, relay_settings::RetrySettings};
use std::{cell::RefCell, rc::Rc};
use tokio::time::Instant;

/// `RetryGate` counts the arrivals at one upstream and limits the retries among them.
#[derive(Debug)]
pub(crate) struct RetryGate {
    budget: RefCell<ArrivalBudget>,
    control: ControlMode,
    log: Rc<DecisionLog>,
}

impl RetryGate {
    pub(crate) fn new(settings: &RelaySettings, log: Rc<DecisionLog>) -> Self {
        let budget = ArrivalBudget::new(Instant::now(), retry_quota(settings.retries));
        Self {
            budget: RefCell::new(budget),
            control: settings.control,
            log,
        }
    }

    /// Applies changed retry settings.
    pub(crate) fn set_retry_settings(&self, retries: RetrySettings) {
        self.budget.borrow_mut().set_quota(retry_quota(retries));
    }

    /// Sets the number of listed upstreams of the service.
    pub(crate) fn set_upstream_count(&self, count: u32) {
        let mut budget = self.budget.borrow_mut();
        budget.set_upstreams(Instant::now(), count);
    }

    /// Returns whether a request may be sent. One that an upstream may have received before has to
    /// be covered by the retry budget, and is counted against it at once.
    pub(crate) fn can_retry(&self, request: &RelayRequest) -> bool {
        if !request.is_resent || self.control == ControlMode::PassThrough {
            return true;
        }
        let priority = RetryPriority {
            importance: request.importance,
            calls_before: request.calls_before,
            calls_left: request.calls_left,
        };
        let is_admitted = self.budget.borrow_mut().spend(Instant::now(), priority);
        if !is_admitted {
            self.log.log_retry_refused(&request.id, priority);
        }
        is_admitted
    }

    /// Counts a request that is sent to the upstream. Retries were counted when the budget admitted
    /// them. Other requests that were refused here are not counted; the node beside another upstream
    /// may count them.
    pub(crate) fn record_arrival(&self, request: &RelayRequest) {
        let now = Instant::now();
        let mut budget = self.budget.borrow_mut();
        match (request.is_resent, request.is_repeat) {
            (true, _) => {}
            (false, true) => budget.record_retry(now),
            (false, false) => budget.record_request(now),
        }
    }

    /// Counts a second attempt at an upstream that received the first one.
    pub(crate) fn record_second_attempt(&self) {
        self.budget.borrow_mut().record_retry(Instant::now());
    }
}

/// Retry quota defined by the settings.
pub(crate) const fn retry_quota(retries: RetrySettings) -> RetryQuota {
    RetryQuota {
        ratio: retries.ratio,
        slack: retries.slack,
        window: retries.window,
        counts_earlier: retries.counts_earlier,
    }
}
