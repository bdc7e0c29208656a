//! Queue of requests that wait for a slot of an upstream.

use crate::{
    ids::{CallerHash, ClassName, LaneName},
    units::RequestImportance,
};

use slotmap::{SlotMap, new_key_type};
use std::{cmp::Reverse, collections::BTreeMap};
use tokio::time::Instant;

new_key_type! {
    /// `EntryKey` identifies an entry of an [`AdmissionQueue`].
    pub struct EntryKey;
}

/// `QueueEntry` is a request that waits for a slot.
#[derive(Clone, Debug)]
pub struct QueueEntry {
    /// Importance of the request.
    pub importance: RequestImportance,
    /// Class of the request.
    pub class: ClassName,
    /// Hash of the client account, assigned by the entry node.
    pub caller: CallerHash,
    /// Lane that the request runs in.
    pub lane: LaneName,
    /// Time at which the request was queued.
    pub arrival: Instant,
    /// Latest start time at which the request can still finish by its deadline.
    pub latest_start: Instant,
}

/// `QueueOrder` orders entries that are equal in importance and in the usage of their callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Earliest deadline first.
    #[default]
    EarliestDeadline,
    /// Newest first: under overload, the requests that have waited longest are the most likely to
    /// miss their deadlines.
    NewestFirst,
    /// Oldest first; a baseline for comparison only.
    OldestFirst,
}

/// Sort key of an entry: importance, recent slots of its caller, then the fields of the queue
/// order.
type QueueRank = (RequestImportance, u32, Reverse<u64>, Option<Instant>, u64);

/// `AdmissionQueue` orders waiting requests by importance, then by the recent usage of their
/// callers, then by its [`QueueOrder`].
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    entries: SlotMap<EntryKey, (u64, QueueEntry)>,
    sequence: u64,
    order: QueueOrder,
    usage: BTreeMap<CallerHash, u32>,
}

impl AdmissionQueue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Changes the order among entries of equal importance and usage.
    pub const fn set_order(&mut self, order: QueueOrder) {
        self.order = order;
    }

    /// Returns the order in force.
    #[must_use]
    pub const fn order(&self) -> QueueOrder {
        self.order
    }

    /// Adds an entry and returns its key.
    pub fn push(&mut self, entry: QueueEntry) -> EntryKey {
        self.sequence += 1;
        self.entries.insert((self.sequence, entry))
    }

    /// Removes an entry; `None` if it is no longer queued.
    pub fn remove(&mut self, key: EntryKey) -> Option<QueueEntry> {
        self.entries.remove(key).map(|(_, entry)| entry)
    }

    /// Records that `caller` was given a slot.
    pub fn record_slot(&mut self, caller: CallerHash) {
        *self.usage.entry(caller).or_default() += 1;
    }

    /// Halves the recorded usage of all callers, so that only recent slots count.
    pub fn decay_usage(&mut self) {
        self.usage.retain(|_, slots| {
            *slots /= 2;
            *slots > 0
        });
    }

    /// Returns the key of the first entry, in queue order, that satisfies `fits`.
    pub fn find_first(&self, mut fits: impl FnMut(&QueueEntry) -> bool) -> Option<EntryKey> {
        let fitting = self.entries.iter().filter(|(_, (_, entry))| fits(entry));
        fitting
            .min_by_key(|(_, (sequence, entry))| self.rank(*sequence, entry))
            .map(|(key, _)| key)
    }

    /// Returns the key of the last entry in queue order, which is among the least important.
    #[must_use]
    pub fn last(&self) -> Option<EntryKey> {
        let last = self
            .entries
            .iter()
            .max_by_key(|(_, (sequence, entry))| self.rank(*sequence, entry));
        last.map(|(key, _)| key)
    }

    /// Moves the waiting requests of `class` to `lane`.
    pub fn move_class(&mut self, class: &str, lane: &LaneName) {
        let entries = self.entries.values_mut().map(|(_, entry)| entry);
        for entry in entries.filter(|entry| entry.class == class) {
            entry.lane.clone_from(lane);
        }
    }

    /// Returns the arrival time of the entry that has waited longest.
    #[must_use]
    pub fn oldest_arrival(&self) -> Option<Instant> {
        let arrivals = self.entries.values().map(|(_, entry)| entry.arrival);
        arrivals.min()
    }

    /// Returns the keys of all entries that satisfy `matches`, in no particular order.
    pub fn find_keys(&self, mut matches: impl FnMut(&QueueEntry) -> bool) -> Vec<EntryKey> {
        let found = self.entries.iter().filter(|(_, (_, entry))| matches(entry));
        found.map(|(key, _)| key).collect()
    }

    fn rank(&self, sequence: u64, entry: &QueueEntry) -> QueueRank {
        let used = self.usage.get(&entry.caller).copied().unwrap_or(0);
        let (newest, earliest) = match self.order {
            QueueOrder::NewestFirst => (sequence, None),
            QueueOrder::EarliestDeadline => (0, Some(entry.latest_start)),
            QueueOrder::OldestFirst => (0, None),
        };
        (entry.importance, used, Reverse(newest), earliest, sequence)
    }
}
