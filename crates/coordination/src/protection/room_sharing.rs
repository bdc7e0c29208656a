//! Whose place is given up when a resource that callers share is used up and another caller asks for it:
//! the memory of requests that are arriving, and connections.
//!
//! Holders that are too slow for what they hold go first, the slowest one at the front, then idle ones, those
//! of the address that holds most at the front. If these do not suffice, the address that holds most gives
//! way, unless the one that asks would hold more than it afterwards. So no address takes the room of all
//! others, and callers behind the same address do not push out each other while they make progress. Work
//! that was taken on already, such as a response, goes before all requests that are still arriving.

use std::{cmp::Reverse, collections::HashMap, net::IpAddr};
use tokio::time::Instant;

/// `HolderStanding` is what a holder does with its place; those that compare lower lose it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HolderStanding {
    /// Is too slow for what it holds, since this time.
    Slow(Instant),
    /// Waits for a request since this time.
    Idle(Instant),
    /// Keeps its pace.
    Active,
    /// Has work in progress, and keeps its place.
    Fixed,
}

/// `RoomHolder` is a holder of a part of the resource.
#[derive(Clone, Copy, Debug)]
pub struct RoomHolder<K> {
    /// Key of the holder.
    pub key: K,
    /// Address of its caller.
    pub caller: IpAddr,
    /// Part that it holds.
    pub held: usize,
    /// What it does with it.
    pub standing: HolderStanding,
}

/// `RoomClaim` is what is asked for.
#[derive(Clone, Copy, Debug)]
pub struct RoomClaim {
    /// Address of the caller that asks; `None` for work that another node has taken on already.
    pub caller: Option<IpAddr>,
    /// Part that is missing.
    pub missing: usize,
}

/// Returns the holders that give up their places for `claim`, in this order; none if all together would
/// not suffice.
#[must_use]
pub fn choose_given_up<K: Copy>(holders: &[RoomHolder<K>], claim: RoomClaim) -> Vec<K> {
    let can_give_up = |holder: &&RoomHolder<K>| holder.standing < HolderStanding::Fixed;
    let available: usize = holders.iter().filter(can_give_up).map(|h| h.held).sum();
    if claim.missing == 0 || available < claim.missing {
        return Vec::new();
    }
    let first = holders.iter().min_by_key(|holder| holder.standing);
    if let Some(first) = first.filter(|first| is_slow(first) && first.held >= claim.missing) {
        return vec![first.key];
    }
    let mut chosen = choose_slow(holders, claim.missing);
    choose_idle(holders, claim, &mut chosen);
    if held_by(&chosen) < claim.missing {
        choose_active(holders, claim, &mut chosen);
    }
    drop_needless(&mut chosen, claim.missing);
    chosen.iter().map(|holder| holder.key).collect()
}

const fn is_slow<K>(holder: &RoomHolder<K>) -> bool {
    matches!(holder.standing, HolderStanding::Slow(_))
}

const fn is_idle<K>(holder: &RoomHolder<K>) -> bool {
    matches!(holder.standing, HolderStanding::Idle(_))
}

fn held_by<K>(holders: &[&RoomHolder<K>]) -> usize {
    holders.iter().map(|holder| holder.held).sum()
}

/// What each address holds without `given_up`.
fn shares_without<K>(
    holders: &[RoomHolder<K>],
    given_up: &[&RoomHolder<K>],
) -> HashMap<IpAddr, usize> {
    let mut shares = HashMap::new();
    for holder in holders {
        *shares.entry(holder.caller).or_default() += holder.held;
    }
    for holder in given_up {
        reduce(&mut shares, holder);
    }
    shares
}

/// Chooses slow holders until `missing` is freed, or all of them.
fn choose_slow<K>(holders: &[RoomHolder<K>], missing: usize) -> Vec<&RoomHolder<K>> {
    let mut slow: Vec<_> = holders.iter().filter(|holder| is_slow(holder)).collect();
    slow.sort_by_key(|holder| holder.standing);
    let mut freed = 0;
    let needed = slow.iter().take_while(|holder| {
        let is_needed = freed < missing;
        freed += holder.held;
        is_needed
    });
    let count = needed.count();
    slow.truncate(count);
    slow
}

/// Adds idle holders to `chosen` until `claim` fits, or all of them. An address that opens many idle
/// connections pushes out its own, not those of others that hold fewer.
fn choose_idle<'a, K>(
    holders: &'a [RoomHolder<K>],
    claim: RoomClaim,
    chosen: &mut Vec<&'a RoomHolder<K>>,
) {
    let mut freed = held_by(chosen);
    let mut idle: Vec<_> = holders.iter().filter(|holder| is_idle(holder)).collect();
    if freed >= claim.missing || idle.is_empty() {
        return;
    }
    let mut shares = shares_without(holders, chosen);
    if let Some(caller) = claim.caller {
        *shares.entry(caller).or_default() += claim.missing;
    }
    while freed < claim.missing {
        let rank = |holder: &RoomHolder<K>| (shares.get(&holder.caller), Reverse(holder.standing));
        let largest = (0..idle.len()).max_by_key(|index| rank(idle[*index]));
        let Some(index) = largest else {
            return;
        };
        let holder = idle.swap_remove(index);
        freed += holder.held;
        chosen.push(holder);
        reduce(&mut shares, holder);
    }
}

/// Adds holders that keep their pace to `chosen` until `claim` fits; leaves none if it does not.
fn choose_active<'a, K>(
    holders: &'a [RoomHolder<K>],
    claim: RoomClaim,
    chosen: &mut Vec<&'a RoomHolder<K>>,
) {
    let mut shares = shares_without(holders, chosen);
    let is_active = |holder: &&RoomHolder<K>| holder.standing == HolderStanding::Active;
    let mut active: Vec<_> = holders.iter().filter(is_active).collect();
    let mut freed = held_by(chosen);
    if !may_suffice(&shares, claim, claim.missing - freed) {
        chosen.clear();
        return;
    }
    while freed < claim.missing {
        let rest = claim.missing - freed;
        let Some(index) = next_active(&active, &shares, claim, rest) else {
            chosen.clear();
            return;
        };
        let holder = active.swap_remove(index);
        freed += holder.held;
        chosen.push(holder);
        reduce(&mut shares, holder);
    }
}

/// Returns whether other addresses hold so much more than the one that asks that `rest` may be freed. It
/// spares the search where that is not so.
fn may_suffice(shares: &HashMap<IpAddr, usize>, claim: RoomClaim, rest: usize) -> bool {
    let Some(caller) = claim.caller else {
        return true;
    };
    let kept = shares.get(&caller).copied().unwrap_or_default() + claim.missing;
    let others = shares.iter().filter(|(address, _)| **address != caller);
    let room: usize = others.map(|(_, share)| share.saturating_sub(kept)).sum();
    room >= rest
}

/// Removes holders from the end of `chosen` without which `missing` is freed as well.
fn drop_needless<K>(chosen: &mut Vec<&RoomHolder<K>>, missing: usize) {
    let mut freed = held_by(chosen);
    for index in (0..chosen.len()).rev() {
        let held = chosen[index].held;
        if freed - held >= missing {
            freed -= held;
            chosen.remove(index);
        }
    }
}

fn reduce<K>(shares: &mut HashMap<IpAddr, usize>, holder: &RoomHolder<K>) {
    if let Some(share) = shares.get_mut(&holder.caller) {
        *share -= holder.held;
    }
}

/// Index of a holder of the address that holds most: the smallest one that frees `rest`, or else the
/// largest one, so that few give way. `None` if that address would hold less than the one that asks. Work
/// that was taken on already goes before all of them.
fn next_active<K>(
    active: &[&RoomHolder<K>],
    shares: &HashMap<IpAddr, usize>,
    claim: RoomClaim,
    rest: usize,
) -> Option<usize> {
    let share_of = |caller: IpAddr| shares.get(&caller).copied().unwrap_or_default();
    let gives_way = |holder: &RoomHolder<K>| {
        let kept = share_of(holder.caller) - holder.held;
        claim.caller.is_none_or(|caller| {
            caller != holder.caller && kept >= share_of(caller) + claim.missing
        })
    };
    let rank = |holder: &RoomHolder<K>| {
        let covers = holder.held >= rest;
        let size = if covers {
            usize::MAX - holder.held
        } else {
            holder.held
        };
        (share_of(holder.caller), covers, size)
    };
    let candidates = active.iter().enumerate();
    let candidates = candidates.filter(|(_, holder)| gives_way(holder));
    let chosen = candidates.max_by_key(|(_, holder)| rank(holder));
    chosen.map(|(index, _)| index)
}
