//! Schedule of the reads of the store: how long a watch (a long poll) waits, when it is abandoned,
//! and the pauses between reads.
//!
//! The request of a watch that begins in an outage, or on a connection that has gone silent, is lost,
//! and its silence looks like a store without changes. Three rules bound the time until such a watch is
//! noticed. After a failed read the node makes short reads, which overlap, until one succeeds. The watchers
//! of each availability zone use short watches. All others are told the newest revision, by their watcher
//! and by the nodes that they talk to, and abandon a watch that does not deliver it; see
//! [`store_watchers`](super::store_watchers).

use rand::{Rng, RngCore};
use std::{ops::Range, time::Duration};
use tokio::time::Instant;

/// Time after which a watch is abandoned if other nodes know of newer changes.
pub const BEHIND_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between the response to a watch and the next watch, so that changes arrive in batches.
pub const BATCH_TIME: Duration = Duration::from_millis(700);
/// Time that a watch may take beyond the wait that it asks the store for.
pub const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Wait of a long watch.
const LONG_WAIT: Duration = Duration::from_secs(12);
/// Shortest wait of one watch, and that of the first watch after a failed or abandoned one.
const WAIT_MIN: Duration = Duration::from_millis(1);
/// Shortest wait of a short watch without anything to do.
const SHORT_WAIT_MIN: Duration = Duration::from_millis(300);
/// Part of the settle time that remains for the read after a dead watch.
const REREAD_TIME: Duration = Duration::from_millis(300);
/// Part of the settle time in which other nodes hear of what that read returned, and read it too.
const FOLLOW_TIME: Duration = Duration::from_millis(700);
/// Timeout of a read to which the store responds without waiting for a change.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after the first of consecutive failures.
const PAUSE_MIN: Duration = Duration::from_millis(60);
/// Mean time between the starts of two reads to which the store responds without waiting for a change, while
/// it does not. The end of a cut is known to within that time, and the reads of the largest fleet stay within what
/// the store allows.
const READ_INTERVAL: Duration = Duration::from_millis(430);
/// Spread of pauses and intervals around their mean, so that nodes do not read in step.
const SPREAD: Range<f64> = 0.9..1.1;

/// `WatchLength` says how long the watches of a node wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchLength {
    /// A dead watch is noticed within the settle time of the store.
    Short,
    /// A dead watch is noticed by the reports of a watcher or of other nodes.
    Long,
}

/// `WatchTimes` are the times of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// Time for which the store may wait for a change.
    pub wait: Duration,
    /// Time after which the watch is given up.
    pub timeout: Duration,
}

/// `ReadSchedule` computes the wait of each watch and the pause after a failed read.
#[derive(Debug)]
pub struct ReadSchedule {
    short_wait: Duration,
    /// Bound on the wait of short watches that others depend on.
    wait_max: Option<Duration>,
    pause: Duration,
    /// Whether the next read must return at once.
    is_immediate: bool,
    /// Time of the last response.
    responded_at: Option<Instant>,
}

impl ReadSchedule {
    /// Creates a schedule. `settle_time` is the time after an outage of the store in which a node has
    /// to be up to date again.
    #[must_use]
    pub fn new(settle_time: Duration) -> Self {
        let reserve = WATCH_TIMEOUT_MARGIN + REREAD_TIME + FOLLOW_TIME;
        Self {
            short_wait: settle_time
                .saturating_sub(reserve)
                .clamp(SHORT_WAIT_MIN, LONG_WAIT),
            wait_max: None,
            pause: PAUSE_MIN,
            is_immediate: false,
            responded_at: None,
        }
    }

    /// Longest wait of a short watch.
    #[must_use]
    pub const fn short_wait(&self) -> Duration {
        self.short_wait
    }

    /// Bounds the wait of short watches, if other nodes need their responses more often.
    pub const fn set_wait_max(&mut self, wait_max: Option<Duration>) {
        self.wait_max = wait_max;
    }

    /// Returns whether the next read returns at once, so that nothing can be gained by abandoning it.
    #[must_use]
    pub const fn is_immediate(&self) -> bool {
        self.is_immediate
    }

    /// Pause after a response with changes. It ends early if the node has something to do at `next`.
    #[must_use]
    pub fn batch_pause(now: Instant, next: Option<Instant>) -> Duration {
        next.map_or(BATCH_TIME, |next| {
            BATCH_TIME.min(next.saturating_duration_since(now))
        })
    }

    /// Records a read that succeeded at `now`.
    pub const fn record_success(&mut self, now: Instant) {
        self.pause = PAUSE_MIN;
        self.is_immediate = false;
        self.responded_at = Some(now);
    }

    /// Records a watch that was abandoned. The next read returns at once.
    pub const fn record_abandoned(&mut self) {
        self.is_immediate = true;
    }

    /// Records a read that failed. Returns the pause before the next one.
    pub fn record_failure(&mut self, random: &mut dyn RngCore) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(READ_INTERVAL);
        self.is_immediate = true;
        pause.mul_f64(random.random_range(SPREAD))
    }

    /// Returns the time after which another read begins though none of those in progress has ended.
    pub fn read_interval(&self, random: &mut dyn RngCore) -> Duration {
        READ_INTERVAL.mul_f64(random.random_range(SPREAD))
    }

    /// Times of the next watch; see [`Self::watch_wait`].
    #[must_use]
    pub fn watch_times(
        &self,
        now: Instant,
        length: WatchLength,
        next: Option<Instant>,
    ) -> WatchTimes {
        let wait = self.watch_wait(now, length, next);
        let timeout = if self.is_immediate {
            READ_TIMEOUT
        } else {
            wait + WATCH_TIMEOUT_MARGIN
        };
        WatchTimes { wait, timeout }
    }

    /// Wait of the next watch, which must return by `next` if the node has something to do then.
    /// After a failed or abandoned read it returns at once, so that its response shows that the store
    /// answers. The wait of a short watch counts from the last response: a connection that went silent
    /// in the pause after it is noticed as soon as one that went silent in the watch.
    #[must_use]
    pub fn watch_wait(&self, now: Instant, length: WatchLength, next: Option<Instant>) -> Duration {
        if self.is_immediate {
            return WAIT_MIN;
        }
        let longest = match length {
            WatchLength::Short => {
                let paused = self
                    .responded_at
                    .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
                let wait = self.wait_max.unwrap_or(LONG_WAIT).min(self.short_wait);
                wait.saturating_sub(paused).max(WAIT_MIN)
            }
            WatchLength::Long => LONG_WAIT,
        };
        let wait = next.map_or(longest, |next| next.saturating_duration_since(now));
        wait.clamp(WAIT_MIN, longest)
    }
}
