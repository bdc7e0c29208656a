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
    applied: Cell<u64>,
    peers: watch::Sender<PeerVersions>,
}

impl Default for KnownVersions {
    fn default() -> Self {
        Self {
            applied: Cell::new(0),
            peers: watch::channel(PeerVersions::default()).0,
        }
    }
}

impl KnownVersions {
    /// Records that the changes of the store up to `revision` were applied.
    pub fn record_applied(&self, revision: u64) {
        self.applied.set(self.applied.get().max(revision));
    }

    /// Newest revision of the store that was applied.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.applied.get()
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
            if newest > self.revision() {
                actix_rt::time::sleep(time).await;
                if newest > self.revision() {
                    return;
                }
            }
            // This struct holds the sender, so the channel stays open.
            if peers.changed().await.is_err() {
                return;
            }
        }
    }
}
