//! Detection of availability zones that are cut off.
//!
//! When a zone is cut off, each of its nodes would have to be found unresponsive on its own, at the
//! cost of one request per node. Two unresponsive nodes of a zone within a short time mark the
//! whole zone as degraded: nodes of other zones are preferred while there are any.

use lagoonshore_state::ids::ZoneName;

use std::{collections::HashMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Time for which an unresponsive node is remembered.
const SILENCE_TTL: Duration = Duration::from_millis(1500);
/// Number of unresponsive nodes that mark their zone as degraded.
const DEGRADED_NODES_MIN: usize = 2;

/// `ZoneHealth` holds the nodes that were recently unresponsive, with their zones.
#[derive(Debug, Default)]
pub struct ZoneHealth {
    unresponsive: HashMap<SocketAddr, (ZoneName, Instant)>,
}

impl ZoneHealth {
    /// Records that a node of `zone` did not respond.
    pub fn record_silence(&mut self, now: Instant, node: SocketAddr, zone: ZoneName) {
        self.unresponsive
            .retain(|_, (_, at)| now - *at < SILENCE_TTL);
        self.unresponsive.insert(node, (zone, now));
    }

    /// Records that a node replied, after which its zone counts as healthy.
    pub fn record_reply(&mut self, node: SocketAddr) {
        if let Some((zone, _)) = self.unresponsive.remove(&node) {
            self.unresponsive.retain(|_, (other, _)| *other != zone);
        }
    }

    /// Returns whether enough nodes of `zone` were recently unresponsive to avoid it.
    #[must_use]
    pub fn is_degraded(&self, now: Instant, zone: &str) -> bool {
        let unresponsive = self.unresponsive.values();
        let in_zone = unresponsive.filter(|(other, at)| other == zone && now - *at < SILENCE_TTL);
        in_zone.count() >= DEGRADED_NODES_MIN
    }

    /// Returns whether no node was recently unresponsive.
    #[must_use]
    pub fn is_all_healthy(&self) -> bool {
        self.unresponsive.is_empty()
    }
}
