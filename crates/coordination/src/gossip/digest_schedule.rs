//! Schedules the digest exchanges of a node. Each round goes to a few random peers, mostly of the
//! node's own service and availability zone and some of others; for a few rounds after a change the
//! fanout is larger.

use crate::routing::RoutingOrigin;

use lagoonshore_state::{
    ids::ServiceName,
    instance_table::{InstanceKey, InstanceRecord, InstanceTable},
};
use rand::{Rng, RngCore, seq::IndexedRandom};
use std::time::Duration;
use tokio::time::Instant;

/// Mean interval between two rounds; each interval is drawn from 0.5 to 1.5 times this.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Peers contacted in a round when there is no recent change.
const IDLE_FANOUT: usize = 1;
/// Peers contacted in a round after a change.
const CHANGE_FANOUT: usize = 3;
/// Number of rounds after a change that use [`CHANGE_FANOUT`].
const CHANGE_ROUNDS: u32 = 4;
/// Probability that a peer is drawn from the node's own availability zone.
const SAME_ZONE_PROBABILITY: f64 = 0.7;
/// Probability that a peer is drawn from the node's own service.
const SAME_SERVICE_PROBABILITY: f64 = 0.8;

/// `DigestSchedule` decides when one node exchanges digests, and with which peers.
#[derive(Debug)]
pub struct DigestSchedule {
    origin: RoutingOrigin,
    service: ServiceName,
    next_round: Instant,
    change_rounds_left: u32,
}

impl DigestSchedule {
    /// Creates a schedule whose first round is due at `now`.
    #[must_use]
    pub const fn new(origin: RoutingOrigin, service: ServiceName, now: Instant) -> Self {
        Self {
            origin,
            service,
            next_round: now,
            change_rounds_left: 0,
        }
    }

    /// Returns the time of the next round.
    #[must_use]
    pub const fn next_round(&self) -> Instant {
        self.next_round
    }

    /// Records a change that peers do not know of yet; the next rounds have a larger fanout.
    pub fn record_change(&mut self) {
        self.change_rounds_left = CHANGE_ROUNDS;
    }

    /// Returns the peers to exchange digests with if a round is due at `now`, else none. Each round
    /// also contacts one of the `unconfirmed` instances, which may have stopped.
    pub fn due_peers(
        &mut self,
        now: Instant,
        table: &InstanceTable,
        unconfirmed: &[InstanceKey],
        random: &mut dyn RngCore,
    ) -> Vec<InstanceKey> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + ROUND_INTERVAL.mul_f64(random.random_range(0.5..1.5));
        let mut peers = Vec::new();
        for _ in 0..self.next_fanout() {
            peers.extend(self.choose_peer(table, random));
        }
        peers.extend(unconfirmed.choose(random).copied());
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    fn next_fanout(&mut self) -> usize {
        if self.change_rounds_left == 0 {
            return IDLE_FANOUT;
        }
        self.change_rounds_left -= 1;
        CHANGE_FANOUT
    }

    fn choose_peer(&self, table: &InstanceTable, random: &mut dyn RngCore) -> Option<InstanceKey> {
        let is_same_service = random.random_bool(SAME_SERVICE_PROBABILITY);
        let is_same_zone = random.random_bool(SAME_ZONE_PROBABILITY);
        let others: Vec<_> = table
            .iter()
            .filter(|(_, record)| record.name != self.origin.instance)
            .collect();
        let is_preferred = |record: &InstanceRecord| {
            (record.service == self.service) == is_same_service
                && (record.zone == self.origin.zone) == is_same_zone
        };
        let preferred: Vec<_> = others
            .iter()
            .filter(|(_, record)| is_preferred(record))
            .collect();
        match preferred.choose(random) {
            Some((key, _)) => Some(*key),
            None => others.choose(random).map(|(key, _)| *key),
        }
    }
}
