//! Circuit breaker for routes whose requests fail because a service that they call is unreachable:
//! cut off by the network, or gone. A service that still answers some of the calls is no reason to
//! refuse requests, since some of them succeed.
//!
//! Running such a request wastes the work, and a request that is not idempotent may not be retried
//! by its caller once it has run. While the breaker of its route is open, a request is refused
//! before it runs, so the caller can safely retry. Some requests are admitted as probes; the first
//! one that succeeds closes the breaker (Nygard, "Release It!", 2007, chapter 5).

use super::slot_queue::RouteId;

use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Consecutive failures that open a breaker.
const OPEN_FAILURES: u32 = 15;
/// Consecutive failures that open a breaker once the streak has lasted for [`SUSTAINED_TIME`].
const OPEN_FAILURES_SUSTAINED: u32 = 6;
/// Duration after which a shorter streak of failures opens a breaker as well.
const SUSTAINED_TIME: Duration = Duration::from_secs(1);
/// Interval between probes by callers that retry after a refusal: a failure costs them the least.
const RETRY_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between probes by callers that make their first attempt.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Least time after which a refused caller may retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
/// Largest number of routes with failures that are tracked.
const ROUTES_MAX: usize = 256;

/// `CircuitBreaker` decides which new requests may run, by how earlier requests of their route
/// ended.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    streaks: HashMap<RouteId, FailureStreak>,
}

/// `FailureStreak` is a sequence of failures of one route without a success between them.
#[derive(Clone, Copy, Debug)]
struct FailureStreak {
    since: Instant,
    failures: u32,
    last_probe: Option<Instant>,
}

/// `BreakerChange` reports that a breaker opened or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerChange {
    /// New requests of the route are refused; holds the number of consecutive failures.
    Opened(u32),
    /// New requests of the route run again; holds the duration of the failure streak.
    Closed(Duration),
}

impl CircuitBreaker {
    /// Admits a new request of `route`. `is_returning` marks a caller that retries after a refusal.
    ///
    /// # Errors
    /// Returns the time after which the caller may retry if the breaker is open: the age of the
    /// outage, since an outage is expected to last about as long again as it has lasted so far.
    pub fn admit(
        &mut self,
        now: Instant,
        route: RouteId,
        is_returning: bool,
    ) -> Result<(), Duration> {
        let Some(streak) = self.streaks.get_mut(&route) else {
            return Ok(());
        };
        if !streak.is_open(now) {
            return Ok(());
        }
        let interval = if is_returning {
            RETRY_PROBE_INTERVAL
        } else {
            FIRST_PROBE_INTERVAL
        };
        let last = streak.last_probe.unwrap_or(streak.since);
        if now.saturating_duration_since(last) >= interval {
            streak.last_probe = Some(now);
            return Ok(());
        }
        Err(now
            .saturating_duration_since(streak.since)
            .max(RETRY_AFTER_MIN))
    }

    /// Records a request of `route` that failed because one of its calls reached no instance.
    pub fn record_failure(&mut self, now: Instant, route: RouteId) -> Option<BreakerChange> {
        if self.streaks.len() >= ROUTES_MAX && !self.streaks.contains_key(&route) {
            return None;
        }
        let streak = self.streaks.entry(route).or_insert(FailureStreak {
            since: now,
            failures: 0,
            last_probe: None,
        });
        let was_open = streak.is_open(now);
        streak.failures += 1;
        let has_opened = !was_open && streak.is_open(now);
        has_opened.then_some(BreakerChange::Opened(streak.failures))
    }

    /// Records a request of `route` whose calls were answered.
    pub fn record_success(&mut self, now: Instant, route: RouteId) -> Option<BreakerChange> {
        let streak = self.streaks.remove(&route)?;
        let lasted = now.saturating_duration_since(streak.since);
        streak.is_open(now).then_some(BreakerChange::Closed(lasted))
    }
}

impl FailureStreak {
    fn is_open(&self, now: Instant) -> bool {
        let is_sustained = now.saturating_duration_since(self.since) >= SUSTAINED_TIME;
        self.failures >= OPEN_FAILURES || (is_sustained && self.failures >= OPEN_FAILURES_SUSTAINED)
    }
}
