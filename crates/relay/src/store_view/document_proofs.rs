//! The proof that the document in force was the newest one a short time ago; see
//! [`document_proof`](lagoonshore_coordination::forwarding::document_proof).

use crate::{events, relay_metrics};

use lagoonshore_coordination::forwarding::document_proof::{
    ClockReading, DocumentFreshness, ProofBounds, ProofKeeper, ProofReport,
};
use lagoonshore_protocol::relay_messages::StoreView;
use lagoonshore_state::{ids::DocumentVersion, units::whole_millis};
use rustix::time::{ClockId, clock_gettime};
use std::{
    cell::{Cell, RefCell},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};
use tracing::{info, warn};

/// Reads the clocks by which proofs are judged.
#[must_use]
pub fn read_clocks() -> ClockReading {
    let since_boot = clock_gettime(ClockId::Boottime);
    ClockReading {
        runtime: Instant::now(),
        // Times since the start of the machine are not negative.
        since_boot: Duration::try_from(since_boot).unwrap_or_default(),
    }
}

/// `DocumentProofs` keeps the proof of a node.
#[derive(Debug)]
pub struct DocumentProofs {
    bounds: Cell<Option<ProofBounds>>,
    keeper: RefCell<ProofKeeper>,
    /// Proof that the upstream list was the newest.
    list_keeper: RefCell<ProofKeeper>,
    /// Number of newer proofs so far.
    renewals: watch::Sender<u64>,
    is_stale: Cell<bool>,
}

impl Default for DocumentProofs {
    fn default() -> Self {
        Self {
            bounds: Cell::new(None),
            keeper: RefCell::default(),
            list_keeper: RefCell::default(),
            renewals: watch::channel(0).0,
            is_stale: Cell::new(false),
        }
    }
}

impl DocumentProofs {
    /// Sets the bounds; without any, keys need no proof.
    pub fn set_bounds(&self, bounds: Option<ProofBounds>) {
        self.bounds.set(bounds);
    }

    /// Bounds in force.
    #[must_use]
    pub const fn bounds(&self) -> Option<ProofBounds> {
        self.bounds.get()
    }

    /// Records a read of the store that began at `started`, and after which the newest document was in
    /// force and the newest list applied.
    pub fn record_read(&self, started: ClockReading) {
        self.list_keeper
            .borrow_mut()
            .record_read(read_clocks(), started);
        let is_newer = self.keeper.borrow_mut().record_read(read_clocks(), started);
        self.record_renewal(is_newer, "store");
    }

    /// Records the proof in the answer of a node that was called at `called`. `version` is that of the
    /// document in force here.
    pub fn record_view(&self, called: ClockReading, view: &StoreView, version: DocumentVersion) {
        let Some(report) = view.proof else {
            return;
        };
        let held = Duration::from_millis(view.held_ms.into());
        let now = read_clocks();
        let mut keeper = self.keeper.borrow_mut();
        let is_newer = keeper.record_report(now, called, held, report, version);
        drop(keeper);
        self.record_renewal(is_newer, "peer");
    }

    /// Records the proof in the answer of a node that was called at `called`, if this node has applied all
    /// changes of the store up to `revision`.
    pub fn record_list_view(&self, called: ClockReading, view: &StoreView, revision: u64) {
        let Some(report) = view.proof.filter(|_| view.revision <= revision) else {
            return;
        };
        let held = Duration::from_millis(view.held_ms.into());
        let now = read_clocks();
        let version = report.version;
        let mut keeper = self.list_keeper.borrow_mut();
        keeper.record_report(now, called, held, report, version);
    }

    /// Returns whether the upstream list was the newest one within the bound. Without bounds it always is.
    #[must_use]
    pub fn is_list_proven(&self) -> bool {
        let age = self.list_keeper.borrow().age(read_clocks());
        let bounds = self.bounds.get();
        bounds.is_none_or(|bounds| bounds.judge(age) != DocumentFreshness::Stale)
    }

    fn record_renewal(&self, is_newer: bool, source: &'static str) {
        if is_newer {
            self.renewals.send_modify(|count| *count += 1);
            relay_metrics::count_proof(source);
        }
    }

    /// Proof for other nodes; `version` is that of the document in force here.
    #[must_use]
    pub fn report(&self, version: DocumentVersion) -> Option<ProofReport> {
        let age = self.age()?;
        Some(ProofReport { version, age })
    }

    /// Age of the proof; `None` if there is none.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.keeper.borrow().age(read_clocks())
    }

    /// Judges the document in force. Without bounds it is always current.
    #[must_use]
    pub fn freshness(&self) -> DocumentFreshness {
        let bounds = self.bounds.get();
        bounds.map_or(DocumentFreshness::Current, |bounds| {
            bounds.judge(self.age())
        })
    }

    /// Time after which a caller that was refused for want of a proof may return.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        let bounds = self.bounds.get()?;
        Some(bounds.retry_after(self.age()))
    }

    /// Waits for a newer proof than the one held.
    pub async fn wait_for_renewal(&self) {
        // This struct holds the sender, so the channel stays open.
        let _ = self.renewals.subscribe().changed().await;
    }

    /// Logs whether the proof has become too old, or is no longer; `version` is that of the document
    /// in force.
    pub(crate) fn log_changes(&self, bounds: ProofBounds, version: DocumentVersion) {
        let age = self.age();
        let is_stale = bounds.judge(age) == DocumentFreshness::Stale;
        if self.is_stale.replace(is_stale) == is_stale {
            return;
        }
        let age_ms = age.map(whole_millis);
        let bound_ms = whole_millis(bounds.revocation);
        if is_stale {
            warn!(
                event = events::PROOF_STALE,
                version,
                age_ms,
                bound_ms,
                "keys: refused, the document may no longer be the newest"
            );
        } else {
            info!(
                event = events::PROOF_RENEWED,
                version,
                age_ms,
                bound_ms,
                "keys: accepted again, the document was the newest a moment ago"
            );
        }
    }
}
