//! Bodies of requests that are arriving, any of which may be given up so that others fit.

use crate::memory_budget::MemoryShare;

use lagoonshore_coordination::protection::{
    room_sharing::{self, HolderStanding, RoomClaim, RoomHolder},
    transfer_progress::TransferProgress,
};
use slotmap::SlotMap;
use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::{sync::Notify, time::Instant};

slotmap::new_key_type! {
    /// Key of a body that is arriving.
    pub(crate) struct ArrivalKey;
}

/// A body that is arriving, with the memory that it holds.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub(crate) caller: IpAddr,
    pub(crate) bytes: Vec<u8>,
    pub(crate) share: MemoryShare,
    pub(crate) progress: TransferProgress,
    /// Tells the connection that the body was given up.
    pub(crate) given_up: Arc<Notify>,
}

/// `ArrivalTable` holds the bodies that are arriving at a node.
#[derive(Debug, Default)]
pub(crate) struct ArrivalTable {
    arrivals: Mutex<SlotMap<ArrivalKey, Arrival>>,
    given_up: AtomicU64,
}

impl ArrivalTable {
    pub(crate) fn lock(&self) -> MutexGuard<'_, SlotMap<ArrivalKey, Arrival>> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of bodies that were given up so far.
    pub(crate) fn given_up(&self) -> u64 {
        self.given_up.load(Ordering::Relaxed)
    }

    /// Gives up bodies other than that of `asking` until `claim` fits; returns whether it does. Their
    /// memory is free when this returns. Bodies of which nothing is counted would free nothing.
    pub(crate) fn make_room(&self, claim: RoomClaim, asking: Option<ArrivalKey>) -> bool {
        if claim.missing == 0 {
            // Memory became free in the meantime.
            return true;
        }
        let now = Instant::now();
        let mut arrivals = self.lock();
        let others = arrivals
            .iter()
            .filter(|(key, arrival)| Some(*key) != asking && arrival.share.bytes() > 0);
        let holders: Vec<RoomHolder<ArrivalKey>> = others
            .map(|(key, arrival)| arrival.holder(key, now))
            .collect();
        let chosen = room_sharing::choose_given_up(&holders, claim);
        let given_up: Vec<Arrival> = chosen
            .iter()
            .filter_map(|key| arrivals.remove(*key))
            .collect();
        drop(arrivals);
        for arrival in &given_up {
            self.given_up.fetch_add(1, Ordering::Relaxed);
            arrival.given_up.notify_one();
        }
        !given_up.is_empty()
    }
}

impl Arrival {
    fn holder(&self, key: ArrivalKey, now: Instant) -> RoomHolder<ArrivalKey> {
        let slow_since = self.progress.slow_since(now);
        RoomHolder {
            key,
            caller: self.caller,
            held: self.share.bytes(),
            standing: slow_since.map_or(HolderStanding::Active, HolderStanding::Slow),
        }
    }
}
