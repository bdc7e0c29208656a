//! Which nodes to ask for a proof of the document in force.
//!
//! The nodes that cannot read the store may be all watchers of a zone, or a whole zone. So the questions
//! go to one zone after the other, and within a zone to any node.

use lagoonshore_state::ids::ZoneName;
use rand::{Rng, RngCore};
use std::{collections::BTreeMap, net::SocketAddr};

/// Chooses the node for the question number `question` among `peers`; `None` if there are none.
pub fn choose_source(
    peers: impl Iterator<Item = (ZoneName, SocketAddr)>,
    question: usize,
    random: &mut dyn RngCore,
) -> Option<SocketAddr> {
    let mut zones: BTreeMap<ZoneName, Vec<SocketAddr>> = BTreeMap::new();
    for (zone, peer) in peers {
        zones.entry(zone).or_default().push(peer);
    }
    let zone = zones.values().nth(question.checked_rem(zones.len())?)?;
    Some(zone[random.random_range(0..zone.len())])
}
