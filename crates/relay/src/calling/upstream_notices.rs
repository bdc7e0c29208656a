//! What upstreams said of themselves in responses, by the node beside them.

use super::peer_table::PeerTable;

use lagoonshore_state::upstream_list::{UpstreamLimit, UpstreamRun};
use std::net::SocketAddr;

impl PeerTable {
    /// Records that a run of the upstream beside the node at `address` announced its departure.
    pub fn record_departure(&self, address: SocketAddr, run: &UpstreamRun) {
        self.directory.announce_departure(run);
        let mut departed = self.departed.borrow_mut();
        if departed.get(&address) == Some(&run.name) {
            return;
        }
        let table = self.directory.instances();
        departed.retain(|peer, _| table.iter().any(|(_, record)| record.peer == *peer));
        departed.insert(address, run.name.clone());
    }

    /// Latest run of the upstream beside the node at `address` that announced its departure.
    #[must_use]
    pub fn departed_run(&self, address: SocketAddr) -> Option<UpstreamRun> {
        let departed = self.departed.borrow();
        let name = departed.get(&address)?;
        self.directory.upstreams().announced_run(name)
    }

    /// Records the limit on its rate that the upstream beside the node at `address` names; `None` if it
    /// names none.
    pub fn record_limit(&self, address: SocketAddr, limit: Option<&UpstreamLimit>) {
        let mut limits = self.limits.borrow_mut();
        let Some(limit) = limit else {
            limits.remove(&address);
            return;
        };
        if !limits.contains_key(&address) {
            let table = self.directory.instances();
            limits.retain(|peer, _| table.iter().any(|(_, record)| record.peer == *peer));
        }
        limits.insert(address, limit.clone());
    }

    /// Limit that the upstream beside the node at `address` named last.
    #[must_use]
    pub fn limit(&self, address: SocketAddr) -> Option<UpstreamLimit> {
        self.limits.borrow().get(&address).cloned()
    }
}
