//! Doubt about whole availability zones.
//!
//! When a zone is cut off, each of its nodes would have to be found silent by itself, at the price
//! of a request each. Two silent nodes of one zone within a short time put all of it in doubt:
//! others are chosen first while there are any.

use lagoonshore_state::ids::ZoneName;

use std::{collections::HashMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Time for which a sign of silence holds.
const SILENCE_MEMORY: Duration = Duration::from_millis(1500);
/// Silent nodes that put a zone in doubt.
const SILENT_NODES: usize = 2;

/// `ZoneHealth` remembers which nodes of which zones were silent lately.
#[derive(Debug, Default)]
pub struct ZoneHealth {
    silent: HashMap<SocketAddr, (ZoneName, Instant)>,
}

impl ZoneHealth {
    /// Notes that a node of `zone` gave no sign of life.
    pub fn record_silence(&mut self, now: Instant, node: SocketAddr, zone: ZoneName) {
        self.silent.retain(|_, (_, at)| now - *at < SILENCE_MEMORY);
        self.silent.insert(node, (zone, now));
    }

    /// Notes that a node answered, which ends all doubt about its zone.
    pub fn record_reply(&mut self, node: SocketAddr) {
        if let Some((zone, _)) = self.silent.remove(&node) {
            self.silent.retain(|_, (other, _)| *other != zone);
        }
    }

    /// Tells whether a zone is in doubt.
    #[must_use]
    pub fn is_degraded(&self, now: Instant, zone: &str) -> bool {
        let silent = self.silent.values();
        let here = silent.filter(|(other, at)| other == zone && now - *at < SILENCE_MEMORY);
        here.count() >= SILENT_NODES
    }

    /// Tells whether no node was silent lately.
    #[must_use]
    pub fn is_all_healthy(&self) -> bool {
        self.silent.is_empty()
    }
}
