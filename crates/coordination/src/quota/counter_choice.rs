//! Which node counts the requests of an account in an availability zone.
//!
//! All nodes choose the same one from the same list by rendezvous hashing (Thaler and Ravishankar, "Using
//! Name-Based Mappings to Increase Hit Rates", 1998), so that a change of the list moves few accounts.

use super::{
    counter_cache::{CounterCache, ZoneCounter},
    heard_zones::HeardZones,
    quota_rules::SuccessionTimes,
};

use lagoonshore_state::ids::{AccountName, ZoneName};

use siphasher::sip::SipHasher13;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
};
use tokio::time::Instant;

/// Most accounts of which a node that has just started remembers what the other one said.
const TAKEN_OVER_MAX: usize = 4096;

/// `CounterChoice` knows the nodes of each availability zone, and since when.
#[derive(Debug)]
pub struct CounterChoice {
    times: SuccessionTimes,
    zones: BTreeMap<ZoneName, BTreeMap<SocketAddr, ZoneMember>>,
    /// Each zone that had nodes, with the time at which the last one was no longer listed; `None` while
    /// it has some.
    vanished_at: BTreeMap<ZoneName, Option<Instant>>,
    /// Time of the first list.
    started_at: Option<Instant>,
    /// Time from which the node itself counts for accounts that were asked for soon after its start.
    taken_over: HashMap<AccountName, Instant>,
    heard_zones: HeardZones,
    cache: CounterCache,
}

/// `ZoneMember` is a node that is or was listed.
#[derive(Clone, Copy, Debug)]
struct ZoneMember {
    /// Time from which the node may count.
    settled_at: Instant,
    /// Time at which the node loses its place; `None` while it is listed.
    removed_at: Option<Instant>,
}

impl ZoneMember {
    /// Returns whether the node has its place at `now`.
    fn is_present(self, now: Instant) -> bool {
        self.removed_at.is_none_or(|removed| now < removed)
    }
}

impl CounterChoice {
    /// Creates a choice among no nodes.
    #[must_use]
    pub fn new(times: SuccessionTimes) -> Self {
        Self {
            times,
            zones: BTreeMap::new(),
            vanished_at: BTreeMap::new(),
            started_at: None,
            taken_over: HashMap::new(),
            heard_zones: HeardZones::default(),
            cache: CounterCache::default(),
        }
    }

    /// Applies the list of nodes, with the zone and the peer address of each.
    pub fn apply_list(&mut self, now: Instant, listed: &BTreeSet<(ZoneName, SocketAddr)>) {
        self.unlist_others(now, listed);
        for (zone, address) in listed {
            let members = self.zones.entry(zone.clone()).or_default();
            if let Some(member) = members.get_mut(address)
                && member.is_present(now)
            {
                member.removed_at = None;
                continue;
            }
            let member = ZoneMember {
                settled_at: now + self.times.settle_time,
                removed_at: None,
            };
            members.insert(*address, member);
        }
        self.record_zones(now, listed);
        if !listed.is_empty() {
            self.started_at.get_or_insert(now);
        }
        let next_change = self.next_change(now);
        self.cache.reset(next_change);
    }

    /// Marks the nodes that are not listed, and forgets those that lost their places long ago.
    fn unlist_others(&mut self, now: Instant, listed: &BTreeSet<(ZoneName, SocketAddr)>) {
        let times = self.times;
        for (zone, members) in &mut self.zones {
            members.retain(|_, member| {
                let removed = member.removed_at;
                removed.is_none_or(|removed| now < removed + times.forget_time)
            });
            for (address, member) in members {
                if !listed.contains(&(zone.clone(), *address)) {
                    member.removed_at.get_or_insert(now + times.member_hold);
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

    /// Returns the counter of `account` in `zone`; `None` if the zone has no node or holds no part.
    #[must_use]
    pub fn counter(&mut self, now: Instant, account: &str, zone: &str) -> Option<SocketAddr> {
        let counters = self.counters(now, account);
        let own = counters.iter().find(|counter| counter.zone == zone)?;
        Some(own.address)
    }

    /// Returns the time from which the node at `own` may count the requests of `account` in `zone`, which
    /// may be in the future; `None` if it is not the counter.
    #[must_use]
    pub fn counting_since(
        &mut self,
        now: Instant,
        account: &str,
        zone: &str,
        own: SocketAddr,
    ) -> Option<Instant> {
        let counters = self.counters(now, account);
        let mut counters = counters.iter();
        let counter = counters.find(|counter| counter.zone == zone && counter.address == own)?;
        if !self.is_start(counter) {
            return Some(counter.since);
        }
        if counter.next.is_none() {
            return self.started_at;
        }
        let taken_over = self.taken_over.get(account);
        Some(taken_over.copied().unwrap_or(counter.since))
    }

    /// Returns the node that may have counted for `account` while the one at `own`, which has just
    /// started, was away. If that node knows of it again, [`Self::confirm`] lets it count at once, else
    /// [`Self::defer`] has it wait; `None` if there is no need to ask, or it is not the counter.
    #[must_use]
    pub fn stand_in(
        &mut self,
        now: Instant,
        account: &str,
        zone: &str,
        own: SocketAddr,
    ) -> Option<SocketAddr> {
        let counters = self.counters(now, account);
        let mut counters = counters.iter();
        let counter = counters.find(|counter| counter.zone == zone && counter.address == own)?;
        let is_held = now < self.started_at? + self.times.member_hold;
        let taken_over = self.taken_over.get(account);
        let is_open = taken_over.is_none_or(|since| now < *since);
        let next = counter.next?;
        (is_held && is_open && self.is_start(counter)).then_some(next)
    }

    /// Records that no other node counts for `account` in place of this one, which has just started.
    pub fn confirm(&mut self, now: Instant, account: &str) {
        let Some(start) = self.started_at else { return };
        let since = now.min(start + self.times.settle_time);
        self.record_takeover(account, since);
    }

    /// Records that the other node may count for `account` in place of this one, which has just started. If
    /// it is cut off, it does so until its proof has become too old.
    pub fn defer(&mut self, account: &str) {
        let Some(start) = self.started_at else { return };
        self.record_takeover(account, start + self.times.member_hold);
    }

    /// A confirmation is not taken back by an ask that was unanswered at the same time.
    fn record_takeover(&mut self, account: &str, since: Instant) {
        if let Some(known) = self.taken_over.get_mut(account) {
            *known = since.min(*known);
        } else if self.taken_over.len() < TAKEN_OVER_MAX {
            self.taken_over.insert(account.into(), since);
        }
    }

    /// Returns whether `counter` has to settle only because this node has just started.
    fn is_start(&self, counter: &ZoneCounter) -> bool {
        let settled = self.started_at.map(|start| start + self.times.settle_time);
        settled == Some(counter.since)
    }

    /// Returns the counters of `account` in the other zones than `zone`, ordered by zone.
    #[must_use]
    pub fn other_counters(&mut self, now: Instant, account: &str, zone: &str) -> Vec<SocketAddr> {
        let counters = self.counters(now, account);
        let others = counters.iter().filter(|counter| counter.zone != zone);
        others.map(|counter| counter.address).collect()
    }

    /// Returns the counter of `account` in each zone that has one, ordered by zone.
    #[must_use]
    pub fn zone_counters(&mut self, now: Instant, account: &str) -> Vec<(ZoneName, SocketAddr)> {
        let counters = self.counters(now, account);
        let places = counters.iter();
        places
            .map(|counter| (counter.zone.clone(), counter.address))
            .collect()
    }

    /// Number of zones that this node knows to divide quotas: those with listed nodes, and those that had some a
    /// short time ago, up to the most that may hold a part.
    #[must_use]
    pub fn zone_count(&self, now: Instant) -> u32 {
        let count = self.zones_with_part(now).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Records the number of zones that another node knows of itself.
    pub fn record_zones_heard(&mut self, now: Instant, zones: u32) {
        self.heard_zones.record(now, zones);
    }

    /// Number of zones among which the counter of this zone divides quotas. A node that started a short
    /// time ago does not know of zones that vanished before, and follows the others.
    #[must_use]
    pub fn divided_zones(&self, now: Instant) -> u32 {
        let known = self.zone_count(now);
        let start = self.started_at.unwrap_or(now);
        let hold = self.times.zone_hold;
        let is_recent = hold.is_none_or(|hold| now < start + hold);
        if is_recent {
            known.max(self.heard_zones.count(now))
        } else {
            known
        }
    }

    /// Number of zones with listed nodes that hold no part, since there are too many.
    #[must_use]
    pub fn zones_without_part(&self, now: Instant) -> usize {
        let with_part: BTreeSet<_> = self.zones_with_part(now).collect();
        let zones = self.vanished_at.iter();
        let listed = zones.filter(|(_, vanished)| vanished.is_none());
        listed.filter(|(zone, _)| !with_part.contains(zone)).count()
    }

    /// Number of nodes that are listed.
    #[must_use]
    pub fn node_count(&self) -> usize {
        let members = self.zones.values().flat_map(BTreeMap::values);
        members.filter(|member| member.removed_at.is_none()).count()
    }

    /// Zones that hold a part at `now`: the first ones by name.
    fn zones_with_part(&self, now: Instant) -> impl Iterator<Item = &ZoneName> {
        let hold = self.times.zone_hold;
        let is_held = move |vanished: Instant| hold.is_none_or(|hold| now < vanished + hold);
        let zones = self.vanished_at.iter();
        let counted = zones.filter(move |(_, vanished)| vanished.is_none_or(is_held));
        counted.map(|(zone, _)| zone).take(self.times.zones_max)
    }

    /// Returns the counters of `account`, ordered by zone.
    fn counters(&mut self, now: Instant, account: &str) -> Rc<[ZoneCounter]> {
        if self.cache.is_outdated(now) {
            let next_change = self.next_change(now);
            self.cache.reset(next_change);
        }
        if let Some(counters) = self.cache.get(account) {
            return counters;
        }
        let zones = self.zones_with_part(now);
        let counters = zones.filter_map(|zone| self.zone_counter(now, account, zone));
        let counters: Rc<[ZoneCounter]> = counters.collect();
        self.cache.insert(account, Rc::clone(&counters));
        counters
    }

    fn zone_counter(&self, now: Instant, account: &str, zone: &ZoneName) -> Option<ZoneCounter> {
        let members = self.zones.get(zone)?.iter();
        let weighted =
            members.map(|(address, member)| (weight(account, *address), address, member));
        let weighted: Vec<_> = weighted.collect();
        let (highest, address, member) = weighted
            .iter()
            .filter(|(_, _, member)| member.is_present(now))
            .max_by_key(|(weight, _, _)| weight)?;
        let before = weighted
            .iter()
            .filter(|(weight, _, member)| weight > highest && !member.is_present(now));
        let removed = before.filter_map(|(_, _, member)| member.removed_at).max();
        let settled = removed.map(|removed| removed + self.times.settle_time);
        let others = weighted
            .iter()
            .filter(|(_, other, member)| other != address && member.is_present(now));
        let next = others.max_by_key(|(weight, _, _)| weight);
        Some(ZoneCounter {
            zone: zone.clone(),
            address: **address,
            since: settled.map_or(member.settled_at, |settled| settled.max(member.settled_at)),
            next: next.map(|(_, address, _)| **address),
        })
    }

    /// Time after `now` at which a node loses its place or a zone its part; `None` if none does.
    fn next_change(&self, now: Instant) -> Option<Instant> {
        let members = self.zones.values().flat_map(BTreeMap::values);
        let removals = members.filter_map(|member| member.removed_at);
        let vanished = self.vanished_at.values().flatten();
        let hold = self.times.zone_hold;
        let ends = vanished.filter_map(|vanished| Some(*vanished + hold?));
        removals.chain(ends).filter(|time| *time > now).min()
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
