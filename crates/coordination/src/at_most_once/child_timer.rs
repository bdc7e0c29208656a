//! The time that a request spends in the calls made for it.

use std::time::Duration;
use tokio::time::Instant;

/// `ChildTimer` measures the time in which at least one child call is open.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChildTimer {
    open: u32,
    since: Option<Instant>,
    total: Duration,
}

impl ChildTimer {
    /// Notes that a child call started.
    pub fn start(&mut self, now: Instant) {
        self.open += 1;
        self.since.get_or_insert(now);
    }

    /// Notes that a child call ended.
    pub fn finish(&mut self, now: Instant) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.total = self.total(now);
            self.since = None;
        }
    }

    /// Time with child calls open, up to `now`.
    #[must_use]
    pub fn total(&self, now: Instant) -> Duration {
        let current = self.since.map(|since| now.saturating_duration_since(since));
        self.total + current.unwrap_or_default()
    }
}
