//! Admission of new requests by route: whether one may run depends on the results of the nested
//! calls that earlier requests of the same route made.
//!
//! A call of a running request is always admitted: refusing it would waste the work of its parent.

use super::running_table::CallTotals;

use crate::events;

use lagoonshore_coordination::forwarding::{
    circuit_breaker::{BreakerChange, CircuitBreaker},
    route_limiter::RouteLimiter,
    slot_queue::RouteId,
};
use lagoonshore_protocol::relay_messages::{CallFailure, RelayRequest, RelayResult};
use lagoonshore_state::units::whole_millis;
use std::{cell::RefCell, time::Duration};
use tokio::time::Instant;
use tracing::{info, warn};

/// Time after which a caller may retry when nested calls have to wait.
const LIMIT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// `RouteGate` decides which new requests may run on one upstream.
#[derive(Debug, Default)]
pub(crate) struct RouteGate {
    limiter: RefCell<RouteLimiter>,
    breaker: RefCell<CircuitBreaker>,
}

/// `RoutePermit` counts an admitted request against the limit of its route until it is dropped.
pub(crate) struct RoutePermit<'a> {
    gate: &'a RouteGate,
    route: RouteId,
}

impl RouteGate {
    /// Admits a new request unless its route has `limit_max` requests running or waiting, its
    /// adaptive limit is reached or its breaker is open.
    ///
    /// # Errors
    /// Time after which the caller may retry.
    pub(crate) fn admit(
        &self,
        request: &RelayRequest,
        limit_max: u32,
    ) -> Result<RoutePermit<'_>, Duration> {
        let (route, is_returning) = (request.route, request.is_returning);
        let mut breaker = self.breaker.borrow_mut();
        breaker.admit(Instant::now(), route, is_returning)?;
        let mut limiter = self.limiter.borrow_mut();
        if !limiter.try_acquire(route, limit_max, is_returning) {
            return Err(LIMIT_RETRY_AFTER);
        }
        Ok(RoutePermit { gate: self, route })
    }

    /// Records a finished run and the totals of its nested calls.
    pub(crate) fn record_run(
        &self,
        request: &RunSummary,
        nested_calls: CallTotals,
        result: &RelayResult,
    ) {
        if nested_calls.calls == 0 {
            return;
        }
        let wait = match nested_calls.worst_failure {
            CallFailure::Starved => request.aim,
            _ => nested_calls.wait,
        };
        let now = Instant::now();
        self.limiter
            .borrow_mut()
            .record_wait(now, request.route, wait, request.aim);
        if request.is_nested {
            return;
        }
        let mut breaker = self.breaker.borrow_mut();
        let change = match result {
            RelayResult::Answered(response) if !response.is_failure() => {
                breaker.record_success(now, request.route)
            }
            RelayResult::Answered(_) if nested_calls.worst_failure == CallFailure::CutOff => {
                breaker.record_failure(now, request.route)
            }
            _ => None,
        };
        log_change(request.route, change);
    }
}

/// `RunSummary` keeps the parts of a request that are needed after its run.
pub(crate) struct RunSummary {
    route: RouteId,
    aim: Duration,
    is_nested: bool,
}

impl RunSummary {
    pub(crate) fn of(request: &RelayRequest) -> Self {
        Self {
            route: request.route,
            aim: Duration::from_millis(request.aim_ms.into()),
            is_nested: request.is_nested(),
        }
    }

    pub(crate) const fn route(&self) -> RouteId {
        self.route
    }
}

impl Drop for RoutePermit<'_> {
    fn drop(&mut self) {
        self.gate.limiter.borrow_mut().release(self.route);
    }
}

fn log_change(route: RouteId, change: Option<BreakerChange>) {
    match change {
        Some(BreakerChange::Opened(failures)) => warn!(
            event = events::BREAKER_OPENED,
            kind = route,
            failures,
            "breaker: opened, new requests of the route are refused because their calls fail"
        ),
        Some(BreakerChange::Closed(lasted)) => info!(
            event = events::BREAKER_CLOSED,
            kind = route,
            lasted_ms = whole_millis(lasted),
            "breaker: closed, new requests of the route are admitted again"
        ),
        None => {}
    }
}
