//! Reports of suspects to other nodes.

use super::RelayNode;

use crate::calling::peer_links::PeerLinks;

use lagoonshore_coordination::{
    gossip::report_spread::{self, REPORT_INTERVAL},
    protection::suspects::SuspectReport,
};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Timeout of a report of suspects to another node.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reports what is learned of suspects to other nodes, as long as it is recent.
pub(super) async fn spread(node: Rc<RelayNode>) {
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        let reports = node.server.suspects().reports();
        if reports.is_empty() {
            continue;
        }
        let own_address = node.callers.forwarder().peer_address();
        let peers: Vec<SocketAddr> = {
            let table = node.directory.instances();
            let others = table.iter().map(|(_, record)| record.peer);
            others.filter(|peer| *peer != own_address).collect()
        };
        for peer in report_spread::choose_peers(&peers, &mut rand::rng()) {
            let (links, reports) = (Rc::clone(&node.links), reports.clone());
            actix_rt::spawn(send(links, reports, peer));
        }
    }
}

/// Reports suspects to the node at `address`.
pub(super) async fn send(links: Rc<PeerLinks>, reports: Vec<SuspectReport>, address: SocketAddr) {
    if reports.is_empty() {
        return;
    }
    let deadline = Instant::now() + REPORT_TIMEOUT;
    // If the report fails, other nodes report the same suspects to that node.
    let _ = links.report_suspects(address, reports, deadline).await;
}
