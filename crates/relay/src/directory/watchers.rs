//! Which nodes watch the store, and for how long.

use super::FleetDirectory;

use lagoonshore_coordination::forwarding::{read_schedule::WatchLength, store_watchers};
use lagoonshore_state::{instance_table::InstanceState, upstream_list::UpstreamRecord};
use std::net::SocketAddr;

impl FleetDirectory {
    /// Returns how long the node watches the store: for a short time unless a watcher tells it of
    /// changes.
    #[must_use]
    pub fn watch_length(&self) -> WatchLength {
        if self.store.has_watcher() {
            WatchLength::Long
        } else {
            WatchLength::Short
        }
    }

    /// Returns the watchers of the store that the node may follow, the one that it should follow first
    /// to begin with: the nodes beside the first live upstreams of its availability zone, by name. Empty
    /// if it is one of them, or if its upstream is not listed.
    #[must_use]
    pub fn watchers(&self) -> Vec<SocketAddr> {
        let upstreams = self.upstreams.borrow();
        let Some(own) = upstreams.find_by_address(self.upstream_address) else {
            return Vec::new();
        };
        let is_live =
            |other: &&UpstreamRecord| other.zone == own.zone && other.state == InstanceState::Live;
        // Records are in the order of their names.
        let live: Vec<_> = upstreams.iter().filter(is_live).collect();
        let rank = live.iter().filter(|other| other.name < own.name).count();
        let count = store_watchers::watcher_count(live.len());
        if rank < count {
            return Vec::new();
        }
        let mut watchers: Vec<_> = live[..count]
            .iter()
            .map(|record| self.peer_address(record))
            .collect();
        watchers.rotate_left(rank % count);
        watchers
    }
}
