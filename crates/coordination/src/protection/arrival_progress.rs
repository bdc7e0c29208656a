//! Progress of a request as it arrives from its caller, and the time that it may take.
//!
//! A caller may send its request slowly or stop within it. Two questions are answered here: when the
//! request is given up in any case, and since when it arrives too slowly for what it holds, so that it
//! is the first to lose its place when others need it.

use std::time::Duration;
use tokio::time::Instant;

/// Time in which a request has to receive a part of what it holds.
const PACE_TIME: Duration = Duration::from_secs(1);
/// That part, as a divisor of the bytes held.
const PACE_DIVISOR: usize = 16;
/// Least size of that part, in bytes; without it, one byte a second would do for a body that holds little.
const PACE_BYTES_MIN: usize = 512;
/// Largest size of that part, in bytes. Large bodies that share a slow link cannot do more.
const PACE_BYTES_MAX: usize = 256 * 1024;

/// `ArrivalLimits` bounds the time that the body of a request may take to arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalLimits {
    /// Time without progress after which the request is given up.
    pub stall_time: Duration,
    /// Time that any body may take.
    pub body_time: Duration,
    /// Received bytes that allow one second beyond `body_time`.
    pub bytes_per_second: u32,
}

/// `ArrivalProgress` is how far a request has arrived, and how fast.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalProgress {
    started: Instant,
    latest: Instant,
    received: usize,
    pace_start: Instant,
    pace_bytes: usize,
}

impl ArrivalProgress {
    /// Creates the progress of a request that begins to arrive at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            latest: now,
            received: 0,
            pace_start: now,
            pace_bytes: 0,
        }
    }

    /// Records that `bytes` arrived for a request that holds `held` bytes.
    pub fn record(&mut self, now: Instant, bytes: usize, held: usize) {
        if bytes == 0 {
            return;
        }
        self.latest = now;
        self.received += bytes;
        self.pace_bytes += bytes;
        let needed = (held / PACE_DIVISOR).clamp(PACE_BYTES_MIN, PACE_BYTES_MAX);
        if self.pace_bytes >= needed {
            self.pace_start = now;
            self.pace_bytes = 0;
        }
    }

    /// Bytes received so far.
    #[must_use]
    pub const fn received(&self) -> usize {
        self.received
    }

    /// Time at which the request is given up unless more of it arrives.
    #[must_use]
    pub fn deadline(&self, limits: &ArrivalLimits) -> Instant {
        let rate = usize::try_from(limits.bytes_per_second).unwrap_or(usize::MAX);
        let seconds = self.received / rate.max(1);
        let extra = Duration::from_secs(u64::try_from(seconds).unwrap_or(u64::MAX));
        let whole = self.started + limits.body_time.saturating_add(extra);
        whole.min(self.latest + limits.stall_time)
    }

    /// Time since which the request has arrived too slowly for what it holds; `None` while it keeps its
    /// pace.
    #[must_use]
    pub fn slow_since(&self, now: Instant) -> Option<Instant> {
        let since = self.pace_start + PACE_TIME;
        (since <= now).then_some(since)
    }
}
