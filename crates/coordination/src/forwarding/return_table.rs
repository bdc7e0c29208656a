//! Callers that were refused and told when to come back, at the node that refused them.
//!
//! A return has an id and a connection of its own, and callers of one route may have different
//! deadlines, so neither tells a return from a first attempt. The node keeps a fingerprint of each
//! request that it refused until its return is overdue. A request with the same fingerprint that arrives
//! when the return is due, and whose caller waits until the same time, is that return; its latency counts
//! from the first attempt.
//!
//! The load is demand above what can be served. While nothing is refused the table is empty, and
//! requests are not compared with it.

use crate::protection::fingerprint::RequestFingerprint;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Longest time by which a return may precede its due time.
const EARLY_MAX: Duration = Duration::from_millis(5);
/// Time after its due time at which a return is no longer expected.
const OVERDUE_TIME: Duration = Duration::from_secs(1);
/// Largest difference between the deadlines of two attempts of one caller: each is received some time
/// after its time limit was computed.
const DEADLINE_DIFFERENCE_MAX: Duration = Duration::from_millis(100);
/// Share of the time left that a caller waits at most.
const WAIT_SHARE_MAX: f64 = 1.0 / 3.0;
/// Largest number of returns that are expected.
const RETURNS_MAX: usize = 8192;
/// Largest number of returns with the same fingerprint that are expected.
const EQUAL_RETURNS_MAX: usize = 256;

/// `RefusedAttempt` is an attempt whose caller was told to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedAttempt {
    /// Time at which the first attempt was received.
    pub first_received: Instant,
    /// Time until which its caller waits.
    pub caller_deadline: Instant,
    /// Time after which its caller was told to come back.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct ExpectedReturn {
    first_received: Instant,
    caller_deadline: Instant,
    due: Instant,
}

impl ExpectedReturn {
    fn is_return(&self, now: Instant, caller_deadline: Instant) -> bool {
        let is_due = now + EARLY_MAX >= self.due && now <= self.due + OVERDUE_TIME;
        let later = caller_deadline.saturating_duration_since(self.caller_deadline);
        let earlier = self
            .caller_deadline
            .saturating_duration_since(caller_deadline);
        is_due && later.max(earlier) <= DEADLINE_DIFFERENCE_MAX
    }
}

/// `ReturnTable` holds the returns that are expected at one node.
#[derive(Debug, Default)]
pub struct ReturnTable {
    expected: HashMap<RequestFingerprint, VecDeque<ExpectedReturn>>,
    /// Fingerprints in the order of refusal, with the times at which their returns are overdue.
    order: VecDeque<(Instant, RequestFingerprint)>,
}

impl ReturnTable {
    /// Returns whether no return is expected.
    pub fn is_empty(&mut self, now: Instant) -> bool {
        self.forget_overdue(now);
        self.expected.is_empty()
    }

    /// Records that an attempt with the fingerprint `request` was refused.
    pub fn record_refusal(
        &mut self,
        now: Instant,
        request: RequestFingerprint,
        attempt: RefusedAttempt,
    ) {
        self.forget_overdue(now);
        let time_left = attempt.caller_deadline.saturating_duration_since(now);
        if self.order.len() >= RETURNS_MAX || time_left.is_zero() {
            return;
        }
        let due = now + attempt.retry_after.min(time_left.mul_f64(WAIT_SHARE_MAX));
        let expected = ExpectedReturn {
            first_received: attempt.first_received,
            caller_deadline: attempt.caller_deadline,
            due,
        };
        let equal = self.expected.entry(request).or_default();
        if equal.len() >= EQUAL_RETURNS_MAX {
            return;
        }
        equal.push_back(expected);
        self.order.push_back((due + OVERDUE_TIME, request));
    }

    /// Returns the time at which the first attempt of `request` was received, if this is its return;
    /// that return is not expected any more.
    pub fn take_return(
        &mut self,
        now: Instant,
        request: RequestFingerprint,
        caller_deadline: Instant,
    ) -> Option<Instant> {
        let expected = self.expected.get_mut(&request)?;
        let mut known = expected.iter();
        let position = known.position(|known| known.is_return(now, caller_deadline))?;
        let found = expected.remove(position)?;
        if expected.is_empty() {
            self.expected.remove(&request);
        }
        Some(found.first_received)
    }

    fn forget_overdue(&mut self, now: Instant) {
        while let Some((overdue_at, request)) = self.order.front().copied() {
            if overdue_at > now {
                break;
            }
            self.order.pop_front();
            self.forget_overdue_of(now, request);
        }
    }

    fn forget_overdue_of(&mut self, now: Instant, request: RequestFingerprint) {
        if let Some(expected) = self.expected.get_mut(&request) {
            expected.retain(|known| known.due + OVERDUE_TIME > now);
            if expected.is_empty() {
                self.expected.remove(&request);
            }
        }
    }
}
