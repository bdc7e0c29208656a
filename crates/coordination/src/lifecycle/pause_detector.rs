//! Detects that the process was paused, by the gap between the ticks of its own timer.

use std::time::Duration;
use tokio::time::Instant;

/// Interval between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum gap between two ticks that counts as a pause.
pub const PAUSE_MIN: Duration = Duration::from_secs(2);

/// `PauseDetector` holds the time of the last tick; it detects no pause before the first tick.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last: Option<Instant>,
}

impl PauseDetector {
    /// Records a tick; returns whether the process was paused since the last one.
    pub fn tick(&mut self, now: Instant) -> bool {
        let was_paused = self.is_overdue(now);
        self.last = Some(now);
        was_paused
    }

    /// Returns whether the last tick was [`PAUSE_MIN`] ago or earlier: the process has just
    /// resumed from a pause.
    #[must_use]
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.last
            .is_some_and(|last| now.saturating_duration_since(last) >= PAUSE_MIN)
    }
}
