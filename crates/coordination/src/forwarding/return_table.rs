//! Callers that were refused and told when to come back, at the node that refused them.
//!
//! A return has an id and a connection of its own, and callers of one route may have different
//! deadlines, so neither tells a return from a first attempt. The node keeps a fingerprint of each
//! request that it refused until its return is overdue. A request with the same fingerprint that arrives
//! when the return is due is that return; its latency counts from the first attempt.
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
/// Share of the time left that a caller waits at most.
const WAIT_SHARE_MAX: f64 = 1.0 / 3.0;
/// Largest number of returns that are expected.
const RETURNS_MAX: usize = 8192;

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
    due: Instant,
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
            due,
        };
        self.expected
            .entry(request)
            .or_default()
            .push_back(expected);
        self.order.push_back((due + OVERDUE_TIME, request));
    }

    /// Returns the time at which the first attempt of `request` was received, if this is its return;
    /// that return is not expected any more.
    pub fn take_return(&mut self, now: Instant, request: RequestFingerprint) -> Option<Instant> {
        let expected = self.expected.get_mut(&request)?;
        let is_due = |known: &ExpectedReturn| {
            now + EARLY_MAX >= known.due && now <= known.due + OVERDUE_TIME
        };
        let position = expected.iter().position(is_due)?;
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
