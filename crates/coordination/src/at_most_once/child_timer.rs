//! The time that a request spends in its child calls.

use std::time::Duration;
use tokio::time::Instant;

/// `ChildTimer` measures the time during which at least one child call is in progress.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChildTimer {
    open: u32,
    since: Option<Instant>,
    total: Duration,
}

impl ChildTimer {
    /// Records the start of a child call.
    pub fn start(&mut self, now: Instant) {
        self.open += 1;
        self.since.get_or_insert(now);
    }

    /// Records the end of a child call.
    pub fn finish(&mut self, now: Instant) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.total = self.total(now);
            self.since = None;
        }
    }

    /// Time with at least one child call in progress, up to `now`.
    #[must_use]
    pub fn total(&self, now: Instant) -> Duration {
        let current = self.since.map(|since| now.saturating_duration_since(since));
        self.total + current.unwrap_or_default()
    }
}
