//! Whose place is given up when a resource that callers share is used up and another caller asks for it:
//! the memory of requests that are arriving, and connections.
//!
//! Holders that arrive too slowly for what they hold go first, the slowest one at the front, then idle
//! ones. If these do not suffice, the address that holds most gives way, unless the one that asks would
//! hold more than it afterwards. So no address takes the room of all others, and callers behind the same
//! address do not push out each other while they make progress. Work that was taken on already, such as a
//! response, goes before all requests that are still arriving.

use std::{collections::HashMap, net::IpAddr};
use tokio::time::Instant;

/// `HolderStanding` is what a holder does with its place; those that compare lower lose it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HolderStanding {
    /// Arrives too slowly for what it holds, since this time.
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
    let mut order: Vec<&RoomHolder<K>> = holders.iter().collect();
    order.sort_by_key(|holder| holder.standing);
    let mut shares: HashMap<IpAddr, usize> = HashMap::new();
    for holder in holders {
        *shares.entry(holder.caller).or_default() += holder.held;
    }
    let (mut chosen, mut freed) = (Vec::new(), 0);
    let unused = order
        .iter()
        .filter(|holder| holder.standing < HolderStanding::Active);
    for holder in unused {
        if freed >= claim.missing {
            return chosen;
        }
        freed += holder.held;
        chosen.push(holder.key);
        reduce(&mut shares, holder);
    }
    order.retain(|holder| holder.standing == HolderStanding::Active);
    while freed < claim.missing {
        let Some(index) = largest(&order, &shares, claim) else {
            return Vec::new();
        };
        let holder = order.swap_remove(index);
        freed += holder.held;
        chosen.push(holder.key);
        reduce(&mut shares, holder);
    }
    chosen
}

fn reduce<K>(shares: &mut HashMap<IpAddr, usize>, holder: &RoomHolder<K>) {
    if let Some(share) = shares.get_mut(&holder.caller) {
        *share -= holder.held;
    }
}

/// Index of the smallest holder of the address that holds most; `None` if that address would hold less
/// than the one that asks. Work that was taken on already goes before all of them.
fn largest<K>(
    active: &[&RoomHolder<K>],
    shares: &HashMap<IpAddr, usize>,
    claim: RoomClaim,
) -> Option<usize> {
    let share_of = |caller: IpAddr| shares.get(&caller).copied().unwrap_or_default();
    let gives_way = |holder: &RoomHolder<K>| {
        let kept = share_of(holder.caller) - holder.held;
        claim.caller.is_none_or(|caller| {
            caller != holder.caller && kept >= share_of(caller) + claim.missing
        })
    };
    let candidates = active.iter().enumerate();
    let candidates = candidates.filter(|(_, holder)| gives_way(holder));
    let chosen = candidates
        .max_by_key(|(_, holder)| (share_of(holder.caller), std::cmp::Reverse(holder.held)));
    chosen.map(|(index, _)| index)
}
