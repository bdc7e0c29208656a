//! Spread of reports over the fleet: whom a node sends its reports to, and how often.
//!
//! A node that has recent reports sends them to a few random peers at each interval, and so does
//! every node that they are new to (push gossip; Demers et al., "Epidemic Algorithms for Replicated
//! Database Maintenance", 1987). The messages of a node do not grow with the fleet, and the time
//! until all nodes know grows with its logarithm. If every node sent to all others, the messages of
//! the fleet would grow with the square of its size.

use rand::{RngCore, seq::index};
use std::time::Duration;

/// Interval between reports of one node.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Peers that a node reports to at each interval.
pub const REPORT_FANOUT: usize = 3;

/// Selects the peers that get the next reports.
#[must_use]
pub fn choose_peers<Peer: Copy>(peers: &[Peer], random: &mut dyn RngCore) -> Vec<Peer> {
    let amount = REPORT_FANOUT.min(peers.len());
    let chosen = index::sample(random, peers.len(), amount);
    chosen.into_iter().map(|index| peers[index]).collect()
}
