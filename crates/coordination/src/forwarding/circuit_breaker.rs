//! Circuit breaker for kinds of requests whose runs fail because a service that they call cannot be
//! reached: it is cut off, or gone. A service that answers a part of the calls is no reason to refuse:
//! some of the runs succeed.
//!
//! Running such a request wastes the work, and where it must not run twice its caller may not
//! send it again. While the breaker of its kind is open, a request is refused before it runs, so
//! that the caller may come back. Some requests are let in as probes; the first run that succeeds
//! closes the breaker (Nygard, "Release It!", 2007, chapter 5).

use super::slot_queue::RouteId;

use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Failed runs in a row that open a breaker.
const FAILURES_OPEN: u32 = 15;
/// Failed runs in a row that open a breaker once they have lasted for [`ROW_TIME`].
const FAILURES_LASTING: u32 = 6;
/// Time after which a shorter row of failures opens a breaker as well.
const ROW_TIME: Duration = Duration::from_secs(1);
/// Time between two probes by callers that come back: they have the least to lose.
const RETURN_PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time between two probes by callers that ask for the first time.
const FIRST_PROBE_PAUSE: Duration = Duration::from_millis(500);
/// Least time after which a refused caller may come back.
const RETRY_MIN: Duration = Duration::from_millis(250);
/// Kinds with failed runs that are remembered.
const KINDS_MAX: usize = 256;

/// `CircuitBreaker` decides which new requests may run, by how runs of their kind ended.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    rows: HashMap<RouteId, FailureRow>,
}

/// Failed runs of a kind without a success between them.
#[derive(Clone, Copy, Debug)]
struct FailureRow {
    since: Instant,
    failures: u32,
    probed: Option<Instant>,
}

/// `BreakerChange` tells that a breaker opened or closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerChange {
    /// New requests of the kind are refused, after so many failed runs.
    Opened(u32),
    /// New requests of the kind run again, after so long a row of failures.
    Closed(Duration),
}

impl CircuitBreaker {
    /// Lets a new request of `kind` in.
    ///
    /// # Errors
    /// Time after which its caller may come back. An outage that has lasted for some time is
    /// expected to last about as long again.
    pub fn admit(
        &mut self,
        now: Instant,
        kind: RouteId,
        is_returning: bool,
    ) -> Result<(), Duration> {
        let Some(row) = self.rows.get_mut(&kind) else {
            return Ok(());
        };
        if !row.is_open(now) {
            return Ok(());
        }
        let pause = if is_returning {
            RETURN_PROBE_PAUSE
        } else {
            FIRST_PROBE_PAUSE
        };
        let last = row.probed.unwrap_or(row.since);
        if now.saturating_duration_since(last) >= pause {
            row.probed = Some(now);
            return Ok(());
        }
        Err(now.saturating_duration_since(row.since).max(RETRY_MIN))
    }

    /// Notes a run of `kind` that failed because one of its calls reached no instance.
    pub fn record_failure(&mut self, now: Instant, kind: RouteId) -> Option<BreakerChange> {
        if self.rows.len() >= KINDS_MAX && !self.rows.contains_key(&kind) {
            return None;
        }
        let row = self.rows.entry(kind).or_insert(FailureRow {
            since: now,
            failures: 0,
            probed: None,
        });
        let was_open = row.is_open(now);
        row.failures += 1;
        let has_opened = !was_open && row.is_open(now);
        has_opened.then_some(BreakerChange::Opened(row.failures))
    }

    /// Notes a run of `kind` whose calls were served.
    pub fn record_success(&mut self, now: Instant, kind: RouteId) -> Option<BreakerChange> {
        let row = self.rows.remove(&kind)?;
        let lasted = now.saturating_duration_since(row.since);
        row.is_open(now).then_some(BreakerChange::Closed(lasted))
    }
}

impl FailureRow {
    fn is_open(&self, now: Instant) -> bool {
        let is_lasting = now.saturating_duration_since(self.since) >= ROW_TIME;
        self.failures >= FAILURES_OPEN || (is_lasting && self.failures >= FAILURES_LASTING)
    }
}
