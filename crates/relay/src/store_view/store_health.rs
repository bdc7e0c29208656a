//! Whether and when the store was last known to answer.

use crate::events;

use lagoonshore_state::{ids::DocumentVersion, units::whole_millis};
use std::{cell::Cell, time::Duration};
use tokio::time::Instant;
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
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            is_unreachable: Cell::new(false),
            read_at: Cell::new(Instant::now()),
        }
    }
}

impl StoreHealth {
    /// Records that a read succeeded.
    pub fn record_read(&self) {
        self.read_at.set(Instant::now());
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

    /// Time since the last read that succeeded, or since the start of the node.
    #[must_use]
    pub fn read_age(&self) -> Duration {
        self.read_at.get().elapsed()
    }
}
