//! Recent demand, as a rate.

use std::time::Duration;
use tokio::time::Instant;

/// Time after which an observation has lost all but 1/e of its weight.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// `DemandMeter` estimates a rate by an exponentially decaying count.
#[derive(Debug)]
pub struct DemandMeter {
    count: f64,
    counted_at: Instant,
}

impl DemandMeter {
    /// Creates a meter that has seen nothing.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            counted_at: now,
        }
    }

    /// Records `count` requests.
    pub fn record(&mut self, now: Instant, count: f64) {
        self.count = self.count_at(now) + count;
        self.counted_at = self.counted_at.max(now);
    }

    /// Requests a second.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        self.count_at(now) / DECAY_TIME.as_secs_f64()
    }

    fn count_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.counted_at);
        self.count * (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
