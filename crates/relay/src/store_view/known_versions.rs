//! The newest revision of the store and the newest document that this node or another one knows of.
//!
//! Every call between nodes tells the revision in both directions, also one that a node has only heard
//! of, so that all of them learn soon that their watch of the store is behind.

use lagoonshore_state::ids::DocumentVersion;
use std::{cell::Cell, net::SocketAddr, time::Duration};
use tokio::sync::watch;

/// `PeerVersions` holds the newest versions that other nodes have reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerVersions {
    /// Newest version of the document; 0 before the first report.
    pub version: DocumentVersion,
    /// Address of a node that has this version in force.
    pub peer: Option<SocketAddr>,
    /// Newest revision of the store.
    pub revision: u64,
}

/// `KnownVersions` compares what the node has applied with what other nodes report.
#[derive(Debug)]
pub struct KnownVersions {
    applied: watch::Sender<u64>,
    peers: watch::Sender<PeerVersions>,
    /// Revision that another node has reported and that a later read of the store did not reach.
    refuted: Cell<u64>,
}

impl Default for KnownVersions {
    fn default() -> Self {
        Self {
            applied: watch::channel(0).0,
            peers: watch::channel(PeerVersions::default()).0,
            refuted: Cell::new(0),
        }
    }
}

impl KnownVersions {
    /// Records that the changes of the store up to `revision` were applied.
    pub fn record_applied(&self, revision: u64) {
        self.applied.send_if_modified(|applied| {
            let is_newer = revision > *applied;
            *applied = revision.max(*applied);
            is_newer
        });
    }

    /// Records that a read of the store succeeded that began after `reported` was reported. If the read
    /// did not reach that revision, no watch is abandoned for it.
    pub fn record_answered(&self, reported: u64) {
        self.refuted.set(self.refuted.get().max(reported));
    }

    /// Newest revision of the store that was applied.
    #[must_use]
    pub fn revision(&self) -> u64 {
        *self.applied.borrow()
    }

    /// Newest revision of the store that was applied here or that another node has reported.
    #[must_use]
    pub fn known_revision(&self) -> u64 {
        self.revision().max(self.peers.borrow().revision)
    }

    /// Records the store revision that another node knows of.
    pub fn record_known(&self, revision: u64) {
        self.peers.send_if_modified(|known| {
            let is_newer = revision > known.revision;
            known.revision = known.revision.max(revision);
            is_newer
        });
    }

    /// Records the version of the document that the node at `peer` has in force.
    pub fn record_document(&self, peer: SocketAddr, version: DocumentVersion) {
        self.peers.send_if_modified(|known| {
            let is_newer = version > known.version;
            if is_newer {
                known.version = version;
                known.peer = Some(peer);
            }
            is_newer
        });
    }

    /// Returns a receiver of the newest versions that other nodes have reported.
    #[must_use]
    pub fn peers(&self) -> watch::Receiver<PeerVersions> {
        self.peers.subscribe()
    }

    /// Waits until another node has reported a newer revision of the store and this node has not
    /// caught up with it within `time`.
    pub async fn wait_until_behind_peers(&self, time: Duration) {
        let mut peers = self.peers();
        loop {
            let newest = peers.borrow_and_update().revision;
            if self.is_missing(newest) {
                actix_rt::time::sleep(time).await;
                if self.is_missing(newest) {
                    return;
                }
            }
            // This struct holds the sender, so the channel stays open.
            if peers.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits until a revision after `revision` is known.
    pub async fn wait_for_newer(&self, revision: u64) {
        let (mut applied, mut peers) = (self.applied.subscribe(), self.peers());
        // This struct holds the senders, so the channels stay open.
        tokio::select! {
            _ = applied.wait_for(|applied| *applied > revision) => {}
            _ = peers.wait_for(|known| known.revision > revision) => {}
        }
    }

    fn is_missing(&self, revision: u64) -> bool {
        revision > self.revision().max(self.refuted.get())
    }
}
