//! The queue in front of an upstream.

use crate::units::RequestImportance;

use slotmap::{SlotMap, new_key_type};
use std::{collections::BTreeSet, time::Duration};
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
    /// Lane that the request runs in.
    pub lane: crate::ids::LaneName,
    /// Time at which the request joined the queue.
    pub arrival: Instant,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
}

/// `AdmissionQueue` orders waiting requests by importance, then by arrival.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    entries: SlotMap<EntryKey, QueueEntry>,
    order: BTreeSet<(RequestImportance, u64, EntryKey)>,
    sequence: u64,
    positions: slotmap::SecondaryMap<EntryKey, u64>,
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

    /// Adds an entry and returns its key.
    pub fn push(&mut self, entry: QueueEntry) -> EntryKey {
        let importance = entry.importance;
        self.sequence += 1;
        let key = self.entries.insert(entry);
        self.positions.insert(key, self.sequence);
        self.order.insert((importance, self.sequence, key));
        key
    }

    /// Removes an entry; `None` if it left the queue before.
    pub fn remove(&mut self, key: EntryKey) -> Option<QueueEntry> {
        let entry = self.entries.remove(key)?;
        let position = self.positions.remove(key)?;
        self.order.remove(&(entry.importance, position, key));
        Some(entry)
    }

    /// Key of the first entry, in order, that satisfies `fits`.
    pub fn first_where(&self, mut fits: impl FnMut(&QueueEntry) -> bool) -> Option<EntryKey> {
        let mut keys = self.order.iter().map(|(_, _, key)| *key);
        keys.find(|key| fits(&self.entries[*key]))
    }

    /// The least important entry, the newest among equals.
    #[must_use]
    pub fn last(&self) -> Option<(EntryKey, RequestImportance)> {
        self.order
            .last()
            .map(|(importance, _, key)| (*key, *importance))
    }

    /// Keys of entries that can no longer finish: less than `needed` is left to their deadline.
    #[must_use]
    pub fn expired(&self, now: Instant, needed: Duration) -> Vec<EntryKey> {
        let doomed = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.deadline < now + needed);
        doomed.map(|(key, _)| key).collect()
    }
}
