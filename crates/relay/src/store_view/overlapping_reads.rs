//! Reads that overlap: a new one begins while earlier ones still wait for their responses.
//!
//! A request that is sent while the path to the store is cut is lost, and its timeout tells little about the
//! end of the cut. Reads that begin at short intervals tell that moment to within one interval: it lies
//! between the start of the latest read without a response and the first response.

use futures::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use std::time::Duration;
use tokio::time::Instant;

/// Time that a response may take from a store that can be reached. A read that has waited for less does not
/// count as one without a response.
const RESPONSE_TIME: Duration = Duration::from_millis(100);

/// `OverlappingReads` holds the reads in progress, and the start of the latest one that failed.
pub struct OverlappingReads<T> {
    pending: FuturesUnordered<LocalBoxFuture<'static, (Instant, T)>>,
    /// Starts of the pending reads.
    starts: Vec<Instant>,
    failed: Option<Instant>,
}

impl<T> Default for OverlappingReads<T> {
    fn default() -> Self {
        Self {
            pending: FuturesUnordered::new(),
            starts: Vec::new(),
            failed: None,
        }
    }
}

impl<T> OverlappingReads<T> {
    /// Starts a read.
    pub fn start(&mut self, read: impl Future<Output = T> + 'static) {
        let started = Instant::now();
        self.starts.push(started);
        self.pending
            .push(Box::pin(async move { (started, read.await) }));
    }

    /// Waits until a read ends; `None` if none does before `deadline`.
    pub async fn next_finished(&mut self, deadline: Instant) -> Option<T> {
        if self.pending.is_empty() {
            tokio::time::sleep_until(deadline).await;
            return None;
        }
        let finished = tokio::time::timeout_at(deadline, self.pending.next()).await;
        let (started, outcome) = finished.ok()??;
        self.starts.retain(|start| *start != started);
        Some(outcome)
    }

    /// Records that a read that began at `started` failed.
    pub fn record_failed(&mut self, started: Instant) {
        self.failed = self.failed.max(Some(started));
    }

    /// Records a response, which ends all other reads. Returns the start of the latest read that failed or
    /// has got no response, if there is one since the response before.
    pub fn record_response(&mut self) -> Option<Instant> {
        let now = Instant::now();
        let is_lost = |start: &&Instant| now.saturating_duration_since(**start) >= RESPONSE_TIME;
        let lost = self.starts.iter().filter(is_lost).max().copied();
        let latest = lost.max(self.failed);
        *self = Self::default();
        latest
    }
}
