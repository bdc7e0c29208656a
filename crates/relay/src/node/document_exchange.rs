//! Exchange of documents with other nodes, for when the store delivers them late or not at all.

use super::RelayNode;

use crate::{
    calling::peer_links::PeerLinks,
    directory::{DocumentSource, FleetDirectory},
};

use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Timeout for fetching a document from another node, or for pushing a snapshot to it.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time given to the store to deliver a document that another node already has, before it is
/// fetched from that node.
const DOCUMENT_PULL_DELAY: Duration = Duration::from_millis(200);
/// Time given to a reconnected node to read the store itself, before a snapshot of the fleet is
/// pushed to it.
const SNAPSHOT_PUSH_DELAY: Duration = Duration::from_millis(200);

/// Pushes a snapshot of the fleet to a reconnected node that still has no document, because the
/// store may be unreachable for it.
pub(super) async fn push_snapshot_if_empty(
    links: Rc<PeerLinks>,
    directory: Rc<FleetDirectory>,
    address: SocketAddr,
) {
    actix_rt::time::sleep(SNAPSHOT_PUSH_DELAY).await;
    let deadline = Instant::now() + DOCUMENT_TIMEOUT;
    let Ok(status) = links.probe(address, deadline).await else {
        return;
    };
    if status.version == 0
        && let Some(snapshot) = directory.snapshot()
    {
        // If the push fails, another node pushes it.
        let _ = links.push_snapshot(address, snapshot, deadline).await;
    }
}

/// Fetches a newer document from another node if the store has not delivered it.
pub(super) async fn pull_newer(node: Rc<RelayNode>) {
    let mut peers = node.directory.versions().peers();
    while peers.changed().await.is_ok() {
        let known = *peers.borrow_and_update();
        if known.version <= node.directory.version() {
            continue;
        }
        actix_rt::time::sleep(DOCUMENT_PULL_DELAY).await;
        if let Some(peer) = known.peer
            && known.version > node.directory.version()
        {
            pull(&node, peer).await;
        }
    }
}

/// Fetches the document of the node at `peer`, which reported a newer version than the one in
/// force here.
async fn pull(node: &RelayNode, peer: SocketAddr) {
    let deadline = Instant::now() + DOCUMENT_TIMEOUT;
    // If the node does not respond, its next status triggers another attempt.
    if let Ok(Some(document)) = node.links.fetch_document(peer, deadline).await {
        node.directory
            .apply_document(document, DocumentSource::Peer);
    }
}
