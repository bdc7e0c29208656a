//! Notices that the process was paused, by the gap between its own ticks.

use std::time::Duration;
use tokio::time::Instant;

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Gap between two ticks from which a process counts as paused.
pub const PAUSE_TIME_MIN: Duration = Duration::from_secs(2);

/// `PauseDetector` holds the time of the last tick; before the first tick it notices nothing.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last: Option<Instant>,
}

impl PauseDetector {
    /// Notes that the process runs; returns whether it was paused since the last tick.
    pub fn tick(&mut self, now: Instant) -> bool {
        let was_paused = self.is_overdue(now);
        self.last = Some(now);
        was_paused
    }

    /// Tells whether the process has just woken: no tick came for [`PAUSE_TIME_MIN`].
    #[must_use]
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.last
            .is_some_and(|last| now.saturating_duration_since(last) >= PAUSE_TIME_MIN)
    }
}
