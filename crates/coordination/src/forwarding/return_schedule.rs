//! Times at which refused callers of a route are told to come back, and the room that is kept for them.
//!
//! The load: more requests of a route arrive for some seconds than may run. With one time for all
//! refused callers they come back together, into the same shortage. Instead each is promised a time of its
//! own, one after the other, at a part of the rate at which requests of the route end; first attempts
//! get the rest. Room is kept only for returns that are due, and no longer than they may be late, so
//! that nothing is kept once no more callers are refused or none come back.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Part of the requests that end whose room is promised to returns.
const PROMISED_SHARE: f64 = 0.5;
/// Least time after which a caller is told to come back.
const RETURN_MIN: Duration = Duration::from_millis(100);
/// Time for which the room of a return is kept before and after its due time.
const KEPT_TIME: Duration = Duration::from_millis(100);

/// `ReturnSchedule` holds the returns that are expected on one route, in the order of their due times.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    due: VecDeque<Instant>,
}

impl ReturnSchedule {
    /// Promises room to a refused caller where `limit` requests run, each for `hold_time`. Returns the time
    /// after which the caller should come back: not later than `target_left` allows it to complete
    /// within its target latency. No room is promised to one whose turn comes later.
    pub fn promise(
        &mut self,
        now: Instant,
        limit: f64,
        hold_time: Duration,
        target_left: Duration,
    ) -> Duration {
        self.forget_lapsed(now);
        let interval = hold_time.div_f64(limit.max(1.0) * PROMISED_SHARE);
        let earliest = now + RETURN_MIN;
        let due = self
            .due
            .back()
            .map_or(earliest, |last| earliest.max(*last + interval));
        let wait = due.saturating_duration_since(now);
        let latest = target_left.saturating_sub(hold_time).max(RETURN_MIN);
        if wait <= latest {
            self.due.push_back(due);
        }
        wait.min(latest)
    }

    /// Number of returns for which room is kept now.
    pub fn expected(&mut self, now: Instant) -> usize {
        self.forget_lapsed(now);
        self.due.partition_point(|due| *due <= now + KEPT_TIME)
    }

    /// Records that a caller came back and was admitted.
    pub fn record_return(&mut self, now: Instant) {
        if self.expected(now) > 0 {
            self.due.pop_front();
        }
    }

    fn forget_lapsed(&mut self, now: Instant) {
        while self.due.front().is_some_and(|due| *due + KEPT_TIME < now) {
            self.due.pop_front();
        }
    }
}
