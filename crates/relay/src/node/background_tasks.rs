//! Starts the tasks that run as long as a node does.

use super::{RelayNode, document_exchange, suspect_reports};

use crate::store_view::{proof_seeker::ProofSeeker, store_follower::StoreFollower};

use lagoonshore_transport::metrics_recorder;
use std::{collections::BTreeSet, net::SocketAddr, rc::Rc};

/// Starts the background tasks of a node that other nodes reach at `own_address`.
pub(super) fn start(node: &Rc<RelayNode>, own_address: SocketAddr) {
    actix_rt::spawn(metrics_recorder::run_upkeep(metrics_recorder::handle()));
    actix_rt::spawn(apply_directory_changes(Rc::clone(node)));
    actix_rt::spawn(suspect_reports::spread(Rc::clone(node)));
    actix_rt::spawn(document_exchange::pull_newer(Rc::clone(node)));
    start_store_readers(node, own_address);
}

/// Starts the tasks that follow the store, directly and by the proofs of other nodes.
fn start_store_readers(node: &RelayNode, own_address: SocketAddr) {
    let (directory, links) = (Rc::clone(&node.directory), Rc::clone(&node.links));
    let follower = StoreFollower::new(&node.settings.store, directory, links);
    actix_rt::spawn(follower.run());
    let (directory, links) = (Rc::clone(&node.directory), Rc::clone(&node.links));
    actix_rt::spawn(ProofSeeker::new(directory, links, own_address).run());
}

/// Applies each change of the directory to the upstream server, the forwarder and the links.
async fn apply_directory_changes(node: Rc<RelayNode>) {
    let mut changes = node.directory.changes();
    // Changes made before this task started have to be applied as well.
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        node.server.apply_upstream_list();
        node.callers.forwarder().apply_directory_change();
        node.fleet_counters.apply_directory_change();
        node.quota_counters.apply_directory_change();
        node.quota_gate.apply_directory_change();
        let listed: BTreeSet<SocketAddr> = {
            let table = node.directory.instances();
            table.iter().map(|(_, record)| record.peer).collect()
        };
        node.links.retain(|address| listed.contains(&address));
    }
}
