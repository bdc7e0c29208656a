//! Admission of requests to the slots of one upstream.
//!
//! No request is refused for overload while a less important one is admitted after it or stays
//! queued: slots go to the head of a queue ordered by importance, and a full queue evicts its
//! least important entry.

use crate::outcome::RefusalReason;

use lagoonshore_state::{
    ids::LaneName,
    limit::SlotLimit,
    queue::{AdmissionQueue, EntryKey, QueueEntry},
    units::{RequestImportance, SlotCount},
};
use std::time::Duration;
use tokio::time::Instant;

/// Queue entries for each slot; a longer queue only adds waiting time.
const QUEUE_ENTRIES_PER_SLOT: u32 = 4;

/// `AdmissionOffer` describes a request that asks for a slot.
#[derive(Clone, Debug)]
pub struct AdmissionOffer {
    /// Importance given at the entry.
    pub importance: RequestImportance,
    /// Lane that the request runs in.
    pub lane: LaneName,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
}

/// `AdmissionVerdict` answers an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// The request holds a slot.
    Admitted,
    /// The request waits under this key.
    Queued(EntryKey),
    /// The request is refused.
    Refused(RefusalReason),
}

/// `QueueChange` lists what became of requests that waited.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueChange {
    /// Entries that hold a slot now.
    pub admitted: Vec<EntryKey>,
    /// Entries that were refused.
    pub refused: Vec<(EntryKey, RefusalReason)>,
}

/// `AdmissionControl` decides which requests hold the slots of one upstream.
#[derive(Debug)]
pub struct AdmissionControl {
    limit: SlotLimit,
    queue: AdmissionQueue,
    shares: std::collections::BTreeMap<LaneName, f64>,
}

impl AdmissionControl {
    /// Creates a control with `slots` free slots and no lane bounds.
    #[must_use]
    pub fn new(slots: SlotCount) -> Self {
        let limit = SlotLimit::new(slots);
        Self {
            limit,
            queue: AdmissionQueue::default(),
            shares: std::collections::BTreeMap::new(),
        }
    }

    /// Applies the bounds of a policy.
    pub fn configure(&mut self, slots: SlotCount, lanes: &[lagoonshore_state::policy::LanePolicy]) {
        self.limit.set_limit(slots);
        self.shares = lanes
            .iter()
            .map(|lane| (lane.name.clone(), lane.share))
            .collect();
    }

    /// Requests in progress.
    #[must_use]
    pub const fn in_progress(&self) -> u32 {
        self.limit.in_progress()
    }

    /// Limit on requests in progress.
    #[must_use]
    pub const fn limit(&self) -> SlotCount {
        self.limit.limit()
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Decides on a request that has just arrived; `change` receives entries that it evicts.
    pub fn offer(
        &mut self,
        now: Instant,
        offer: AdmissionOffer,
        change: &mut QueueChange,
    ) -> AdmissionVerdict {
        if offer.deadline <= now {
            return AdmissionVerdict::Refused(RefusalReason::Timeout);
        }
        let share = self.share(&offer.lane);
        if self.limit.has_room(&offer.lane, share) {
            self.limit.take(&offer.lane);
            return AdmissionVerdict::Admitted;
        }
        self.enqueue(now, offer, change)
    }

    /// Gives the slot of a finished request to those that wait.
    pub fn release(&mut self, now: Instant, lane: &str) -> QueueChange {
        self.limit.give_back(lane);
        self.refill(now)
    }

    /// Forgets a waiting request whose caller left.
    pub fn abandon(&mut self, key: EntryKey) {
        self.queue.remove(key);
    }

    /// Refuses entries whose deadline passed and fills free slots.
    pub fn refill(&mut self, now: Instant) -> QueueChange {
        let mut change = QueueChange::default();
        for key in self.queue.expired(now, Duration::ZERO) {
            self.queue.remove(key);
            change.refused.push((key, RefusalReason::Timeout));
        }
        while let Some(key) = self.next_fitting() {
            if let Some(entry) = self.queue.remove(key) {
                self.limit.take(&entry.lane);
                change.admitted.push(key);
            }
        }
        change
    }

    fn next_fitting(&self) -> Option<EntryKey> {
        let (limit, shares) = (&self.limit, &self.shares);
        self.queue.first_where(|entry| {
            let share = shares.get(&entry.lane).copied().unwrap_or(1.0);
            limit.has_room(&entry.lane, share)
        })
    }

    fn enqueue(
        &mut self,
        now: Instant,
        offer: AdmissionOffer,
        change: &mut QueueChange,
    ) -> AdmissionVerdict {
        let capacity = self.limit.limit().0 * QUEUE_ENTRIES_PER_SLOT;
        if self.queue.len() >= capacity as usize {
            match self.queue.last() {
                Some((key, importance)) if offer.importance.outranks(importance) => {
                    self.queue.remove(key);
                    change.refused.push((key, RefusalReason::Overload));
                }
                _ => return AdmissionVerdict::Refused(RefusalReason::Overload),
            }
        }
        let AdmissionOffer {
            importance,
            lane,
            deadline,
        } = offer;
        let entry = QueueEntry {
            importance,
            lane,
            arrival: now,
            deadline,
        };
        AdmissionVerdict::Queued(self.queue.push(entry))
    }

    fn share(&self, lane: &str) -> f64 {
        self.shares.get(lane).copied().unwrap_or(1.0)
    }
}
