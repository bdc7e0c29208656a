//! Which node counts the requests of an account in an availability zone.
//!
//! All nodes choose the same one from the same list by rendezvous hashing (Thaler and Ravishankar, "Using
//! Name-Based Mappings to Increase Hit Rates", 1998), so that a change of the list moves few accounts.

use lagoonshore_state::ids::ZoneName;

use siphasher::sip::SipHasher13;
use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Time for which a node that is no longer listed stays in its place.
pub const MEMBER_HOLD: Duration = Duration::from_secs(3);
/// Time for which a new counter grants nothing, while other nodes may still use the one before.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after which a node that has lost its place is forgotten.
const FORGET_TIME: Duration = Duration::from_mins(1);

/// `CounterChoice` knows the nodes of each availability zone, and since when.
#[derive(Debug, Default)]
pub struct CounterChoice {
    zones: BTreeMap<ZoneName, BTreeMap<SocketAddr, ZoneMember>>,
    /// Each zone that had nodes, with the time at which the last one was no longer listed; `None` while
    /// it has some.
    vanished_at: BTreeMap<ZoneName, Option<Instant>>,
    is_started: bool,
}

/// `ZoneMember` is a node that is or was listed.
#[derive(Clone, Copy, Debug)]
struct ZoneMember {
    /// Time from which the node may count. Nodes of the first list need not settle.
    settled_at: Instant,
    /// Time at which the node was no longer listed.
    unlisted_at: Option<Instant>,
}

impl ZoneMember {
    /// Time at which the node has lost its place; `None` while it is listed.
    fn removed_at(self) -> Option<Instant> {
        self.unlisted_at.map(|unlisted| unlisted + MEMBER_HOLD)
    }

    /// Returns whether the node has its place at `now`.
    fn is_present(self, now: Instant) -> bool {
        self.removed_at().is_none_or(|removed| now < removed)
    }
}

impl CounterChoice {
    /// Applies the list of nodes, with the zone and the peer address of each.
    pub fn apply_list(&mut self, now: Instant, listed: &BTreeSet<(ZoneName, SocketAddr)>) {
        self.unlist_others(now, listed);
        let settle_time = if self.is_started {
            SETTLE_TIME
        } else {
            Duration::ZERO
        };
        for (zone, address) in listed {
            let members = self.zones.entry(zone.clone()).or_default();
            if let Some(member) = members.get_mut(address)
                && member.is_present(now)
            {
                member.unlisted_at = None;
                continue;
            }
            let member = ZoneMember {
                settled_at: now + settle_time,
                unlisted_at: None,
            };
            members.insert(*address, member);
        }
        self.record_zones(now, listed);
        self.is_started |= !listed.is_empty();
    }

    /// Marks the nodes that are not listed, and forgets those that lost their places long ago.
    fn unlist_others(&mut self, now: Instant, listed: &BTreeSet<(ZoneName, SocketAddr)>) {
        for (zone, members) in &mut self.zones {
            members.retain(|_, member| {
                let removed = member.removed_at();
                removed.is_none_or(|removed| now < removed + FORGET_TIME)
            });
            for (address, member) in members {
                let is_listed = listed.contains(&(zone.clone(), *address));
                if !is_listed && member.unlisted_at.is_none() {
                    member.unlisted_at = Some(now);
                }
            }
        }
        self.zones.retain(|_, members| !members.is_empty());
    }

    /// Records which zones have listed nodes.
    fn record_zones(&mut self, now: Instant, listed: &BTreeSet<(ZoneName, SocketAddr)>) {
        for vanished in self.vanished_at.values_mut() {
            vanished.get_or_insert(now);
        }
        for (zone, _) in listed {
            self.vanished_at.insert(zone.clone(), None);
        }
    }

    /// Returns the counter of `account` in `zone`; `None` if the zone has no node.
    #[must_use]
    pub fn counter(&self, now: Instant, account: &str, zone: &str) -> Option<SocketAddr> {
        let members = self.zones.get(zone)?.iter();
        let present = members.filter(|(_, member)| member.is_present(now));
        present
            .map(|(address, _)| *address)
            .max_by_key(|address| weight(account, *address))
    }

    /// Returns the time from which the node at `own` may count the requests of `account` in `zone`, which
    /// may be in the future; `None` if it is not the counter.
    #[must_use]
    pub fn counting_since(
        &self,
        now: Instant,
        account: &str,
        zone: &str,
        own: SocketAddr,
    ) -> Option<Instant> {
        if self.counter(now, account, zone) != Some(own) {
            return None;
        }
        let members = self.zones.get(zone)?;
        let own_weight = weight(account, own);
        let before = members.iter().filter(|(address, member)| {
            !member.is_present(now) && weight(account, **address) > own_weight
        });
        let removed = before.filter_map(|(_, member)| member.removed_at()).max();
        let settled = removed.map(|removed| removed + SETTLE_TIME);
        settled.max(Some(members.get(&own)?.settled_at))
    }

    /// Returns the counters of `account` in the other zones than `zone`, ordered by zone.
    #[must_use]
    pub fn other_counters(&self, now: Instant, account: &str, zone: &str) -> Vec<SocketAddr> {
        let others = self.zones.keys().filter(|other| *other != zone);
        others
            .filter_map(|other| self.counter(now, account, other))
            .collect()
    }

    /// Returns the counter of `account` in each zone that has one, ordered by zone.
    #[must_use]
    pub fn zone_counters(&self, now: Instant, account: &str) -> Vec<(ZoneName, SocketAddr)> {
        let counters = self.zones.keys().filter_map(|zone| {
            let counter = self.counter(now, account, zone)?;
            Some((zone.clone(), counter))
        });
        counters.collect()
    }

    /// Number of zones among which quotas are divided: those with listed nodes, and those that had some
    /// less than `hold` ago, or ever without a `hold`.
    #[must_use]
    pub fn zone_count(&self, now: Instant, hold: Option<Duration>) -> u32 {
        let is_held = |vanished: Instant| hold.is_none_or(|hold| now < vanished + hold);
        let zones = self.vanished_at.values();
        let counted = zones.filter(|vanished| vanished.is_none_or(is_held));
        u32::try_from(counted.count()).unwrap_or(u32::MAX)
    }

    /// Number of nodes that are listed.
    #[must_use]
    pub fn node_count(&self) -> usize {
        let members = self.zones.values().flat_map(BTreeMap::values);
        members
            .filter(|member| member.unlisted_at.is_none())
            .count()
    }
}

/// Weight of a node for an account; the node with the highest one counts.
fn weight(account: &str, address: SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(account.as_bytes());
    match address {
        SocketAddr::V4(address) => address.ip().octets().hash(&mut hasher),
        SocketAddr::V6(address) => address.ip().octets().hash(&mut hasher),
    }
    hasher.write(&address.port().to_le_bytes());
    hasher.finish()
}
