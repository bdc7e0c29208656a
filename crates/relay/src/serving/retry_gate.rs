//! Lets repeats reach the upstream as far as its budget goes.

use crate::decision_log::DecisionLog;

use lagoonshore_coordination::forwarding::{
    arrival_budget::{ArrivalBudget, RetryPriority},
    retry_quota::RetryQuota,
};
use lagoonshore_protocol::relay_messages::RelayRequest;
use lagoonshore_settings::{ControlMode, RelaySettings, relay_settings::RetrySettings};
use std::{cell::RefCell, rc::Rc};
use tokio::time::Instant;

/// `RetryGate` counts what reaches one upstream.
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

    /// Takes over changed bounds on repeats.
    pub(crate) fn set_retry_settings(&self, repeats: RetrySettings) {
        self.budget.borrow_mut().set_quota(retry_quota(repeats));
    }

    /// Sets the number of listed upstreams of the service.
    pub(crate) fn set_upstreams(&self, count: u32) {
        let mut budget = self.budget.borrow_mut();
        budget.set_upstreams(Instant::now(), count);
    }

    /// Tells whether the budget lets a request through that an upstream may have read before.
    pub(crate) fn may_repeat(&self, request: &RelayRequest) -> bool {
        if !request.is_resent || self.control == ControlMode::PassThrough {
            return true;
        }
        let claim = RetryPriority {
            importance: request.importance,
            calls_before: request.calls_before,
        };
        let is_taken = self.budget.borrow_mut().spend(Instant::now(), claim);
        if !is_taken {
            self.log.log_retry_refused(&request.id, claim);
        }
        is_taken
    }

    /// Counts a request that goes to the upstream; repeats were counted as they were let through. One
    /// that was refused here may be counted beside another upstream.
    pub(crate) fn note_arrival(&self, request: &RelayRequest) {
        let now = Instant::now();
        let mut budget = self.budget.borrow_mut();
        match (request.is_resent, request.is_repeat) {
            (true, _) => {}
            (false, true) => budget.record_retry(now),
            (false, false) => budget.record_request(now),
        }
    }

    /// Counts a second sending to an upstream that read the first one.
    pub(crate) fn note_second(&self) {
        self.budget.borrow_mut().record_retry(Instant::now());
    }
}

/// Bound on repeats that the settings give.
pub(crate) const fn retry_quota(repeats: RetrySettings) -> RetryQuota {
    RetryQuota {
        ratio: repeats.ratio,
        slack: repeats.slack,
        window: repeats.window,
    }
}
