//! Limit on the log lines of one kind.

use std::{cell::Cell, time::Duration};
use tokio::time::Instant;

/// Window in which the lines under a limit are counted.
pub(crate) const LINE_WINDOW: Duration = Duration::from_secs(1);

/// `LineBudget` limits the lines that are written in each [`LINE_WINDOW`], and counts those that are
/// left out.
#[derive(Debug)]
pub(crate) struct LineBudget {
    /// Lines per window.
    lines_max: u32,
    since: Cell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl LineBudget {
    pub(crate) const fn new(lines_max: u32) -> Self {
        Self {
            lines_max,
            since: Cell::new(None),
            written: Cell::new(0),
            left_out: Cell::new(0),
        }
    }

    /// Returns the number of lines left out before this one, or `None` if this one is left out too.
    pub(crate) fn take(&self) -> Option<u64> {
        let now = Instant::now();
        let since = self.since.get();
        if since.is_none_or(|since| now - since >= LINE_WINDOW) {
            self.since.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= self.lines_max {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.left_out.take())
    }
}
