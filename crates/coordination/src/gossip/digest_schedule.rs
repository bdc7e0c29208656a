//! When a node exchanges digests, and with whom: a few random peers a second, mostly of its own
//! service and availability zone, some across, and more for a short while after a change.

use crate::routing::RoutingOrigin;

use lagoonshore_state::{
    ids::ServiceName,
    instance_table::{InstanceKey, InstanceRecord, InstanceTable},
};
use rand::{Rng, RngCore, seq::IndexedRandom};
use std::time::Duration;
use tokio::time::Instant;

/// Mean time between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Peers of a round when nothing changed lately.
const PEERS_AT_REST: usize = 1;
/// Peers of a round after a change.
const PEERS_AFTER_CHANGE: usize = 3;
/// Rounds after a change that have more peers.
const ROUNDS_AFTER_CHANGE: u32 = 4;
/// Share of the exchanges that stay in the own availability zone.
const OWN_ZONE_SHARE: f64 = 0.7;
/// Share of the exchanges that stay within the own service.
const OWN_SERVICE_SHARE: f64 = 0.8;

/// `DigestSchedule` draws the rounds of one node.
#[derive(Debug)]
pub struct DigestSchedule {
    origin: RoutingOrigin,
    service: ServiceName,
    next_round: Instant,
    rounds_after_change: u32,
}

impl DigestSchedule {
    /// Creates a schedule whose first round is due at `now`.
    #[must_use]
    pub const fn new(origin: RoutingOrigin, service: ServiceName, now: Instant) -> Self {
        Self {
            origin,
            service,
            next_round: now,
            rounds_after_change: 0,
        }
    }

    /// Time of the next round.
    #[must_use]
    pub const fn next_round(&self) -> Instant {
        self.next_round
    }

    /// Notes that something changed which peers do not know yet; the next rounds have more peers.
    pub fn record_change(&mut self) {
        self.rounds_after_change = ROUNDS_AFTER_CHANGE;
    }

    /// Peers to exchange digests with if a round is due at `now`; `doubtful` ones, of which it is
    /// not known whether they still run, are asked one a round besides.
    pub fn due_peers(
        &mut self,
        now: Instant,
        table: &InstanceTable,
        doubtful: &[InstanceKey],
        random: &mut dyn RngCore,
    ) -> Vec<InstanceKey> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + ROUND_INTERVAL.mul_f64(random.random_range(0.5..1.5));
        let mut peers = Vec::new();
        for _ in 0..self.peers_of_round() {
            peers.extend(self.choose(table, random));
        }
        peers.extend(doubtful.choose(random).copied());
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    fn peers_of_round(&mut self) -> usize {
        if self.rounds_after_change == 0 {
            return PEERS_AT_REST;
        }
        self.rounds_after_change -= 1;
        PEERS_AFTER_CHANGE
    }

    fn choose(&self, table: &InstanceTable, random: &mut dyn RngCore) -> Option<InstanceKey> {
        let own_service = random.random_bool(OWN_SERVICE_SHARE);
        let own_zone = random.random_bool(OWN_ZONE_SHARE);
        let others: Vec<_> = table
            .iter()
            .filter(|(_, record)| record.name != self.origin.instance)
            .collect();
        let fits = |record: &InstanceRecord| {
            (record.service == self.service) == own_service
                && (record.zone == self.origin.zone) == own_zone
        };
        let preferred: Vec<_> = others.iter().filter(|(_, record)| fits(record)).collect();
        match preferred.choose(random) {
            Some((key, _)) => Some(*key),
            None => others.choose(random).map(|(key, _)| *key),
        }
    }
}
