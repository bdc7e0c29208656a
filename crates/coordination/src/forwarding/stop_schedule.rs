//! Times of a planned stop.
//!
//! Requests that are let in shortly after the request to stop may still run when the process has
//! to end. One that is let in later must be finished, so that none is once there is no time left
//! in which even the slowest may end.

use std::time::Duration;

/// Longest time in which callers learn that the node leaves.
const NOTICE_TIME: Duration = Duration::from_millis(2300);
/// Share of the grace time after which new requests are refused.
const REFUSE_SHARE: f64 = 0.6;
/// Time after which new requests are refused, however long the grace time is.
const REFUSE_TIME: Duration = Duration::from_millis(2800);
/// Share of the grace time after which the process ends whatever still runs, so that it has ended
/// by itself before it is killed, also on a slow instance.
const END_SHARE: f64 = 0.85;

/// `StopSchedule` says when the steps of a planned stop begin, from the request to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Callers are taken for told.
    pub notice_end: Duration,
    /// New requests are refused.
    pub refuse_at: Duration,
    /// The process ends, whatever still runs.
    pub end_at: Duration,
}

impl StopSchedule {
    /// Schedule of a stop that may take `grace`.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        let end_at = grace.mul_f64(END_SHARE);
        Self {
            notice_end: NOTICE_TIME.min(end_at),
            refuse_at: REFUSE_TIME.min(grace.mul_f64(REFUSE_SHARE)),
            end_at,
        }
    }
}
