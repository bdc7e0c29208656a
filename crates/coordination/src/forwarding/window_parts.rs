//! Counts of a sliding window, kept in parts of it.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// `WindowParts` holds the counts of the parts that reach into the window.
#[derive(Debug)]
pub struct WindowParts<T> {
    parts: VecDeque<WindowPart<T>>,
}

#[derive(Debug)]
struct WindowPart<T> {
    since: Instant,
    until: Instant,
    counts: T,
}

impl<T> Default for WindowParts<T> {
    fn default() -> Self {
        Self {
            parts: VecDeque::new(),
        }
    }
}

impl<T: Default> WindowParts<T> {
    /// Counts of the part that `now` lies in. A new part is `length` long, and parts that have left
    /// the window are forgotten as it begins.
    pub fn current(&mut self, now: Instant, length: Duration, window: Duration) -> &mut T {
        let is_current = self.parts.back().is_some_and(|part| now < part.until);
        if !is_current {
            self.parts.retain(|part| part.until + window > now);
            self.parts.push_back(WindowPart {
                since: now,
                until: now + length,
                counts: T::default(),
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last].counts
    }

    /// Parts that reach into the window that ends now: never too little is counted.
    pub fn reaching(&self, now: Instant, window: Duration) -> impl Iterator<Item = &T> {
        let parts = self.parts.iter();
        let reaching = parts.filter(move |part| part.until + window > now);
        reaching.map(|part| &part.counts)
    }

    /// Parts that lie in the window that ends now: never too much is counted.
    pub fn within(&self, now: Instant, window: Duration) -> impl Iterator<Item = &T> {
        let parts = self.parts.iter();
        let within = parts.filter(move |part| part.since + window >= now);
        within.map(|part| &part.counts)
    }
}
