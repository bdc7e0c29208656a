//! Lets new requests in by how the calls of others of their kind fare further down.
//!
//! A call of a running request is always let in: its parent's work would be lost.

use super::running_table::CallSum;

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

/// Time after which a caller may come back when calls further down have to wait.
const PACE_RETRY: Duration = Duration::from_millis(250);

/// `EntryGate` decides on new requests of one upstream.
#[derive(Debug, Default)]
pub(crate) struct EntryGate {
    pacer: RefCell<RouteLimiter>,
    breaker: RefCell<CircuitBreaker>,
}

/// `EntryMark` counts a request that was let in until it is dropped.
pub(crate) struct EntryMark<'a> {
    gate: &'a EntryGate,
    kind: RouteId,
}

impl EntryGate {
    /// Lets a new request in beside `most` others of its kind at the most.
    ///
    /// # Errors
    /// Time after which its caller may come back.
    pub(crate) fn enter(
        &self,
        request: &RelayRequest,
        most: u32,
    ) -> Result<EntryMark<'_>, Duration> {
        let (kind, is_returning) = (request.kind, request.is_returning);
        let mut breaker = self.breaker.borrow_mut();
        breaker.admit(Instant::now(), kind, is_returning)?;
        let mut pacer = self.pacer.borrow_mut();
        if !pacer.try_acquire(kind, most, is_returning) {
            return Err(PACE_RETRY);
        }
        Ok(EntryMark { gate: self, kind })
    }

    /// Learns from a run of `request`, whose calls came to `below`.
    pub(crate) fn learn(&self, request: &RunSummary, below: CallSum, result: &RelayResult) {
        if below.calls == 0 {
            return;
        }
        let wait = match below.trouble {
            CallFailure::Starved => request.aim,
            _ => below.wait,
        };
        let now = Instant::now();
        self.pacer
            .borrow_mut()
            .record_wait(now, request.kind, wait, request.aim);
        if request.is_nested {
            return;
        }
        let mut breaker = self.breaker.borrow_mut();
        let change = match result {
            RelayResult::Answered(answer) if !answer.is_failure() => {
                breaker.record_success(now, request.kind)
            }
            RelayResult::Answered(_) if below.trouble == CallFailure::CutOff => {
                breaker.record_failure(now, request.kind)
            }
            _ => None,
        };
        log_change(request.kind, change);
    }
}

/// `RunSummary` is what is kept of a request while it runs.
pub(crate) struct RunSummary {
    kind: RouteId,
    aim: Duration,
    is_nested: bool,
}

impl RunSummary {
    pub(crate) fn of(request: &RelayRequest) -> Self {
        Self {
            kind: request.kind,
            aim: Duration::from_millis(request.aim_ms.into()),
            is_nested: request.is_nested(),
        }
    }
}

impl Drop for EntryMark<'_> {
    fn drop(&mut self) {
        self.gate.pacer.borrow_mut().release(self.kind);
    }
}

fn log_change(kind: RouteId, change: Option<BreakerChange>) {
    match change {
        Some(BreakerChange::Opened(failures)) => warn!(
            event = events::BREAKER_OPENED,
            kind, failures, "breaker: new requests of the kind are refused, their calls fail"
        ),
        Some(BreakerChange::Closed(lasted)) => info!(
            event = events::BREAKER_CLOSED,
            kind,
            lasted_ms = whole_millis(lasted),
            "breaker: new requests of the kind run again"
        ),
        None => {}
    }
}
