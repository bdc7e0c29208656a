//! Whether and when the store was last known to answer.

use crate::events;

use lagoonshore_state::{ids::DocumentVersion, units::whole_millis};
use std::{cell::Cell, time::Duration};
use tokio::{sync::watch, time::Instant};
use tracing::{info, warn};

/// `FailedRead` describes a read of the store that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedRead<'a> {
    /// Error of the read.
    pub cause: &'a str,
    /// Time from the start of the read to its failure.
    pub took: Duration,
    /// Version of the document in force.
    pub version: DocumentVersion,
    /// Newest revision that was applied.
    pub revision: u64,
    /// Newest revision that was applied here or that another node has reported.
    pub known_revision: u64,
}

/// `StoreHealth` records the reads of the store.
#[derive(Debug)]
pub struct StoreHealth {
    is_unreachable: Cell<bool>,
    read_at: Cell<Instant>,
    /// Latest time at which the store is known to have answered this node or its watcher.
    answered_at: Cell<Instant>,
    /// Whether a watcher tells this node of changes.
    has_watcher: watch::Sender<bool>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            is_unreachable: Cell::new(false),
            read_at: Cell::new(Instant::now()),
            answered_at: Cell::new(Instant::now()),
            has_watcher: watch::channel(false).0,
        }
    }
}

impl StoreHealth {
    /// Records that a read succeeded.
    pub fn record_read(&self) {
        self.read_at.set(Instant::now());
        self.answered_at.set(Instant::now());
        if self.is_unreachable.replace(false) {
            info!(event = events::STORE_RECOVERED, "store: reachable again");
        }
    }

    /// Records that a read failed.
    pub fn record_failed_read(&self, read: &FailedRead<'_>) {
        info!(
            event = events::STORE_READ_FAILED,
            cause = read.cause,
            took_ms = whole_millis(read.took),
            success_age_ms = whole_millis(self.read_age()),
            revision = read.revision,
            known_revision = read.known_revision,
            "store: read failed"
        );
        if !self.is_unreachable.replace(true) {
            warn!(
                event = events::STORE_UNREACHABLE,
                cause = read.cause,
                version = read.version,
                "store: unreachable"
            );
        }
    }

    /// Records the answer of a watcher that read the store `read_age` ago.
    pub fn record_watcher(&self, read_age: Duration) {
        let now = Instant::now();
        let answered_at = now.checked_sub(read_age).unwrap_or(now);
        self.answered_at
            .set(self.answered_at.get().max(answered_at));
        self.set_watcher(true);
    }

    /// Records that no watcher tells this node of changes.
    pub fn record_no_watcher(&self) {
        self.set_watcher(false);
    }

    /// Returns whether a watcher tells this node of changes, so that it need not read often itself.
    #[must_use]
    pub fn has_watcher(&self) -> bool {
        *self.has_watcher.borrow()
    }

    /// Waits until no watcher tells this node of changes any more.
    pub async fn wait_until_no_watcher(&self) {
        let mut has_watcher = self.has_watcher.subscribe();
        // This struct holds the sender, so the channel stays open.
        let _ = has_watcher.wait_for(|has_watcher| !has_watcher).await;
    }

    /// Latest time at which the store is known to have answered this node or its watcher.
    #[must_use]
    pub const fn answered_at(&self) -> Instant {
        self.answered_at.get()
    }

    fn set_watcher(&self, has_watcher: bool) {
        let is_changed = self.has_watcher.send_if_modified(|known| {
            let is_changed = *known != has_watcher;
            *known = has_watcher;
            is_changed
        });
        if is_changed {
            info!(
                event = events::WATCHER_CHANGED,
                has_watcher,
                read_age_ms = whole_millis(self.read_age()),
                "store: a watcher tells of changes, or no longer does"
            );
        }
    }

    /// Time since the last read that succeeded, or since the start of the node.
    #[must_use]
    pub fn read_age(&self) -> Duration {
        self.read_at.get().elapsed()
    }
}
