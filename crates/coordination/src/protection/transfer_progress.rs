//! Progress of a message as it is received from a caller or written to it, and the time that it may take.
//!
//! A caller may send its request or read a response slowly, or stop within it. Two questions are answered
//! here: when the message is given up in any case, and since when it makes too little progress for what it
//! holds, so that it is the first to lose its place when others need it.

use std::time::Duration;
use tokio::time::Instant;

/// Time in which a message has to move a part of what it holds.
const PACE_TIME: Duration = Duration::from_secs(1);
/// That part, as a divisor of the bytes held.
const PACE_DIVISOR: usize = 16;
/// Least size of that part, in bytes; without it, one byte a second would do for a body that holds little.
const PACE_BYTES_MIN: usize = 512;
/// Largest size of that part, in bytes. Large bodies that share a slow link cannot do more.
const PACE_BYTES_MAX: usize = 256 * 1024;

/// `TransferLimits` bounds the time that a message may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferLimits {
    /// Time without progress after which the message is given up.
    pub stall_time: Duration,
    /// Time that any message may take.
    pub whole_time: Duration,
    /// Bytes moved that allow one second beyond `whole_time`.
    pub bytes_per_second: u32,
}

/// `TransferProgress` is how far a message has got, and how fast.
#[derive(Clone, Copy, Debug)]
pub struct TransferProgress {
    started: Instant,
    latest: Instant,
    moved: usize,
    pace_start: Instant,
    pace_bytes: usize,
}

impl TransferProgress {
    /// Creates the progress of a message that begins at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            latest: now,
            moved: 0,
            pace_start: now,
            pace_bytes: 0,
        }
    }

    /// Records that `bytes` were moved for a message that holds `held` bytes.
    pub fn record(&mut self, now: Instant, bytes: usize, held: usize) {
        if bytes == 0 {
            return;
        }
        self.latest = now;
        self.moved += bytes;
        self.pace_bytes += bytes;
        let needed = (held / PACE_DIVISOR).clamp(PACE_BYTES_MIN, PACE_BYTES_MAX);
        if self.pace_bytes >= needed {
            self.pace_start = now;
            self.pace_bytes = 0;
        }
    }

    /// Bytes moved so far.
    #[must_use]
    pub const fn moved(&self) -> usize {
        self.moved
    }

    /// Time at which the message is given up unless more of it is moved.
    #[must_use]
    pub fn deadline(&self, limits: &TransferLimits) -> Instant {
        let rate = usize::try_from(limits.bytes_per_second).unwrap_or(usize::MAX);
        let seconds = self.moved / rate.max(1);
        let extra = Duration::from_secs(u64::try_from(seconds).unwrap_or(u64::MAX));
        let whole = self.started + limits.whole_time.saturating_add(extra);
        whole.min(self.latest + limits.stall_time)
    }

    /// Time at which the message is too slow for what it holds, unless more of it is moved.
    #[must_use]
    pub fn pace_deadline(&self) -> Instant {
        self.pace_start + PACE_TIME
    }

    /// Time since which the message has been too slow for what it holds; `None` while it keeps its pace.
    #[must_use]
    pub fn slow_since(&self, now: Instant) -> Option<Instant> {
        let since = self.pace_deadline();
        (since <= now).then_some(since)
    }
}
