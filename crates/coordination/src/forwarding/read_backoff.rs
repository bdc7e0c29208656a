//! Schedule of the reads of the store: how long a watch (a long poll) waits, when it is abandoned,
//! and the pauses between reads.

use rand::{Rng, RngCore};
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a watch is abandoned if other nodes know of newer changes.
pub const BEHIND_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between the response to a watch and the next watch, so that changes arrive in batches.
pub const BATCH_TIME: Duration = Duration::from_millis(700);
/// Longest wait of one watch.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(12);
/// Shortest wait of one watch.
const WATCH_WAIT_MIN: Duration = Duration::from_millis(1);
/// Pause after the first of consecutive failures.
const PAUSE_MIN: Duration = Duration::from_millis(60);
/// Longest pause after consecutive failures.
const PAUSE_MAX: Duration = Duration::from_millis(800);

/// `ReadBackoff` computes the pause after a failed read.
#[derive(Debug)]
pub struct ReadBackoff {
    pause: Duration,
}

impl Default for ReadBackoff {
    fn default() -> Self {
        Self { pause: PAUSE_MIN }
    }
}

impl ReadBackoff {
    /// Records a read that succeeded.
    pub const fn record_success(&mut self) {
        self.pause = PAUSE_MIN;
    }

    /// Records a read that failed. Returns the pause before the next one, with jitter around its
    /// mean so that nodes do not read in step.
    pub fn record_failure(&mut self, random: &mut dyn RngCore) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(PAUSE_MAX);
        pause.mul_f64(random.random_range(0.7..1.3))
    }
}

/// Wait of the next watch, which must return by `next` if the node has something to do then.
#[must_use]
pub fn watch_wait(now: Instant, next: Option<Instant>) -> Duration {
    let wait = next.map_or(WATCH_WAIT_MAX, |next| next.saturating_duration_since(now));
    wait.clamp(WATCH_WAIT_MIN, WATCH_WAIT_MAX)
}
