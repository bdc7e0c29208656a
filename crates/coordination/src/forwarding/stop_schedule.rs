//! Schedule of a planned stop.
//!
//! Requests that are admitted shortly after the stop signal may still be running when the process
//! has to end. A request that is admitted later must complete, so none is admitted any more once
//! the slowest request would not complete in the remaining time.

use std::time::Duration;

/// Longest time that callers are given to notice that the node is draining.
const NOTICE_TIME_MAX: Duration = Duration::from_millis(2300);
/// Share of the grace time after which new requests are refused.
const REFUSE_SHARE: f64 = 0.6;
/// Time after which new requests are refused, even if the grace time is longer.
const REFUSE_TIME_MAX: Duration = Duration::from_millis(2800);
/// Share of the grace time after which requests that still run are answered in place of their
/// upstreams.
const ANSWER_SHARE: f64 = 0.85;
/// Share of the grace time after which the process ends, even if responses are not written. It
/// leaves enough time for the process to exit before it is killed, on a slow instance as well.
const END_SHARE: f64 = 0.9;

/// `StopSchedule` holds the start of each step of a planned stop, measured from the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time from which callers are assumed to have noticed.
    pub notice_end: Duration,
    /// Time from which new requests are refused.
    pub refuse_at: Duration,
    /// Time at which requests that still run are answered.
    pub answer_at: Duration,
    /// Time at which the process ends, even if responses are not written.
    pub end_at: Duration,
}

impl StopSchedule {
    /// Creates the schedule of a stop that may take `grace`.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        let answer_at = grace.mul_f64(ANSWER_SHARE);
        let refuse_at = REFUSE_TIME_MAX.min(grace.mul_f64(REFUSE_SHARE));
        Self {
            notice_end: NOTICE_TIME_MAX.min(refuse_at),
            refuse_at,
            answer_at,
            end_at: grace.mul_f64(END_SHARE),
        }
    }
}
