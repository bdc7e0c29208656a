//! The queue in front of an upstream.

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
    /// Caller at the entry.
    pub caller: CallerHash,
    /// Lane that the request runs in.
    pub lane: LaneName,
    /// Time at which the request joined the queue.
    pub arrival: Instant,
    /// Time after which the request can no longer finish by its deadline.
    pub latest_start: Instant,
}

/// `QueueOrder` orders entries of one importance and of callers with equal shares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// Earliest deadline first.
    #[default]
    EarliestDeadline,
    /// Newest first: what has waited long is the most likely to come too late.
    NewestFirst,
    /// Oldest first, for comparison.
    OldestFirst,
}

/// Place of an entry: importance, slots its caller had lately, order among those.
type QueueRank = (RequestImportance, u32, Reverse<u64>, Option<Instant>, u64);

/// `AdmissionQueue` orders waiting requests by importance, then by fair shares of callers, then
/// by its [`QueueOrder`].
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    entries: SlotMap<EntryKey, (u64, QueueEntry)>,
    sequence: u64,
    order: QueueOrder,
    usage: BTreeMap<CallerHash, u32>,
}

impl AdmissionQueue {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Changes the order among entries of one importance.
    pub const fn set_order(&mut self, order: QueueOrder) {
        self.order = order;
    }

    /// The order in force.
    #[must_use]
    pub const fn order(&self) -> QueueOrder {
        self.order
    }

    /// Adds an entry and returns its key.
    pub fn push(&mut self, entry: QueueEntry) -> EntryKey {
        self.sequence += 1;
        self.entries.insert((self.sequence, entry))
    }

    /// Removes an entry; `None` if it left the queue before.
    pub fn remove(&mut self, key: EntryKey) -> Option<QueueEntry> {
        self.entries.remove(key).map(|(_, entry)| entry)
    }

    /// Counts a slot that went to `caller`.
    pub fn record_slot(&mut self, caller: CallerHash) {
        *self.usage.entry(caller).or_default() += 1;
    }

    /// Halves what callers had, so that only the recent past counts.
    pub fn decay_usage(&mut self) {
        self.usage.retain(|_, slots| {
            *slots /= 2;
            *slots > 0
        });
    }

    /// Key of the first entry, in order, that satisfies `fits`.
    pub fn find_first(&self, mut fits: impl FnMut(&QueueEntry) -> bool) -> Option<EntryKey> {
        let fitting = self.entries.iter().filter(|(_, (_, entry))| fits(entry));
        fitting
            .min_by_key(|(_, (sequence, entry))| self.rank(*sequence, entry))
            .map(|(key, _)| key)
    }

    /// The last entry in order, one of the least important.
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

    /// Arrival of the entry that has waited longest.
    #[must_use]
    pub fn oldest_arrival(&self) -> Option<Instant> {
        let arrivals = self.entries.values().map(|(_, entry)| entry.arrival);
        arrivals.min()
    }

    /// Keys of entries that satisfy `matches`.
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
