//! When the store is read: how long a watch waits, when it is given up, and the pauses between reads.

use rand::{Rng, RngCore};
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a watch is given up when other nodes know of newer changes.
pub const BEHIND_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between the answers to two watches, in which changes gather.
pub const BATCH_TIME: Duration = Duration::from_millis(700);
/// Wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(12);
/// Least wait of one watch.
const WAIT_MIN: Duration = Duration::from_millis(1);
/// Pause after a first fault.
const PAUSE_MIN: Duration = Duration::from_millis(60);
/// Longest pause after faults in a row.
const PAUSE_MAX: Duration = Duration::from_millis(800);

/// `ReadBackoff` paces the reads after faults.
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
    /// Notes a read that succeeded.
    pub const fn record_success(&mut self) {
        self.pause = PAUSE_MIN;
    }

    /// Notes a read that failed; returns the pause before the next one, drawn around its mean so that
    /// nodes do not act in step.
    pub fn record_failure(&mut self, random: &mut dyn RngCore) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(PAUSE_MAX);
        pause.mul_f64(random.random_range(0.7..1.3))
    }
}

/// Wait of the next watch, which ends for what the node has to do at `next`.
#[must_use]
pub fn watch_wait(now: Instant, next: Option<Instant>) -> Duration {
    let wait = next.map_or(WATCH_WAIT, |next| next.saturating_duration_since(now));
    wait.clamp(WAIT_MIN, WATCH_WAIT)
}
