//! Counts over a sliding window, kept in buckets.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// `SlidingWindow` holds the counts of the buckets that overlap the window.
#[derive(Debug)]
pub struct SlidingWindow<T> {
    buckets: VecDeque<WindowBucket<T>>,
}

#[derive(Debug)]
struct WindowBucket<T> {
    since: Instant,
    until: Instant,
    counts: T,
}

impl<T> Default for SlidingWindow<T> {
    fn default() -> Self {
        Self {
            buckets: VecDeque::new(),
        }
    }
}

impl<T: Default> SlidingWindow<T> {
    /// Counts of the bucket that contains `now`. A new bucket is `length` long; when one begins,
    /// buckets that have left the window are dropped.
    pub fn current(&mut self, now: Instant, length: Duration, window: Duration) -> &mut T {
        let is_current = self.buckets.back().is_some_and(|bucket| now < bucket.until);
        if !is_current {
            self.buckets.retain(|bucket| bucket.until + window > now);
            self.buckets.push_back(WindowBucket {
                since: now,
                until: now + length,
                counts: T::default(),
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].counts
    }

    /// Buckets that overlap the window that ends at `now`. Their sum is never below the count of
    /// the window.
    pub fn overlapping(&self, now: Instant, window: Duration) -> impl Iterator<Item = &T> {
        let buckets = self.buckets.iter();
        let overlapping = buckets.filter(move |bucket| bucket.until + window > now);
        overlapping.map(|bucket| &bucket.counts)
    }

    /// Buckets that begin within the window that ends at `now`. Their sum is never above the count
    /// of the window.
    pub fn within(&self, now: Instant, window: Duration) -> impl Iterator<Item = &T> {
        let buckets = self.buckets.iter();
        let within = buckets.filter(move |bucket| bucket.since + window >= now);
        within.map(|bucket| &bucket.counts)
    }

    /// Buckets that lie within the window that ended `age` before `now`. Their sum is never above
    /// the count of that window.
    pub fn within_earlier(
        &self,
        now: Instant,
        window: Duration,
        age: Duration,
    ) -> impl Iterator<Item = &T> {
        let buckets = self.buckets.iter();
        let within = buckets
            .filter(move |bucket| bucket.since + window + age >= now && bucket.until + age <= now);
        within.map(|bucket| &bucket.counts)
    }
}
