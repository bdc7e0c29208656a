//! Where a request waits for a slot, and until when.
//!
//! It is made for this load: for some seconds more arrives than the slots can serve, and callers that were
//! refused come back when most of their target latency has passed. They cannot be served within it any
//! more, and each slot that they took from a request that can would make that one late as well. Yet
//! their deadlines are far away. So they wait behind all requests of their rank that can still complete
//! within the target, and get the slots that these leave. A first attempt is refused instead, as its
//! caller can come back.

use std::time::Duration;
use tokio::time::Instant;

/// `WaitClass` orders requests of the same rank by whether they can complete within their target
/// latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitClass {
    /// It can complete within the target.
    InTime,
    /// It can only complete later, but before its deadline.
    Late,
}

/// `WaitPlan` is a place in the queue for slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitPlan {
    /// Order among requests of the same rank.
    pub class: WaitClass,
    /// Time by which the request must hold a slot.
    pub start_by: Instant,
}

/// `WaitTimes` holds the times that a request of some route has.
#[derive(Clone, Copy, Debug)]
pub struct WaitTimes {
    /// Time by which the request should have completed.
    pub finish_by: Instant,
    /// Time until which a later response is of use; `None` if the request does not wait that long.
    pub late_by: Option<Instant>,
    /// Time at which its longest wait in this queue ends.
    pub wait_until: Instant,
    /// Mean time for which its route holds a slot.
    pub hold_time: Duration,
}

impl WaitTimes {
    /// Plan by which the request completes within its target latency.
    #[must_use]
    pub fn in_time(&self, now: Instant) -> WaitPlan {
        self.plan(now, WaitClass::InTime, self.finish_by)
    }

    /// Plan by which the request completes before its deadline; `None` if it does not wait that long.
    #[must_use]
    pub fn late(&self, now: Instant) -> Option<WaitPlan> {
        self.late_by
            .map(|late_by| self.plan(now, WaitClass::Late, late_by))
    }

    fn plan(&self, now: Instant, class: WaitClass, finish_by: Instant) -> WaitPlan {
        let start_by = finish_by.checked_sub(self.hold_time).unwrap_or(now);
        WaitPlan {
            class,
            start_by: start_by.min(self.wait_until),
        }
    }
}
