//! Admission of requests to the slots of one upstream.
//!
//! No request is refused for overload while a less important one is admitted after it or stays
//! queued: slots go to the head of a queue ordered by importance, a full queue evicts its least
//! important entry, and a level that falls turns out what no longer passes.

use crate::{admission::level_control::LevelControl, request::outcome::RefusalReason};

use lagoonshore_state::{
    adaptive_limit::AdaptiveLimit,
    admission_level::AdmissionLevel,
    ids::{CallerHash, ClassName, LaneName},
    limit::SlotLimit,
    policy::LanePolicy,
    queue::{AdmissionQueue, EntryKey, QueueEntry, QueueOrder},
    service_cost::{CostTable, ServiceSample},
    units::{RequestImportance, SlotCount},
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Queue entries for each slot; a longer queue only adds waiting time.
const QUEUE_ENTRIES_PER_SLOT: u32 = 4;
/// Lane of long work where the policy has no lane with a bound.
const LEARNED_LANE: &str = "learned-long";
/// Share of the slots that the learned lane may hold.
const LEARNED_LANE_SHARE: f64 = 0.2;
/// Time after which the slots that a caller had count half.
const FAIRNESS_TIME: Duration = Duration::from_secs(1);

/// `AdmissionRequest` describes a request that asks for a slot.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Importance given at the entry.
    pub importance: RequestImportance,
    /// Class of the request.
    pub class: ClassName,
    /// Caller at the entry.
    pub caller: CallerHash,
    /// Lane that the request runs in.
    pub lane: LaneName,
    /// Longest time that a request of the class may take.
    pub timeout: Duration,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
}

/// `AdmissionDecision` answers an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request holds a slot.
    Admitted,
    /// The request waits under this key.
    Queued(EntryKey),
    /// The request is refused.
    Refused(RefusalReason),
}

/// `AdmittedEntry` is a request that waited and holds a slot now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmittedEntry {
    /// Key under which it waited.
    pub key: EntryKey,
    /// Lane of its slot.
    pub lane: LaneName,
}

/// `QueueChange` lists what became of requests that waited.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueChange {
    /// Entries that hold a slot now.
    pub admitted: Vec<AdmittedEntry>,
    /// Entries that were refused.
    pub refused: Vec<(EntryKey, RefusalReason)>,
}

/// `AdmissionFeatures` switches parts of the admission off, to measure what each is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionFeatures {
    /// Whether requests that cannot finish by their deadline are refused.
    pub learns_costs: bool,
    /// Whether the level falls under overload.
    pub sets_level: bool,
    /// Whether the limit adapts below the slots of the policy.
    pub adapts_limit: bool,
    /// Order of the queue while overloaded.
    pub overload_order: QueueOrder,
    /// Order of the queue otherwise.
    pub normal_order: QueueOrder,
}

impl Default for AdmissionFeatures {
    fn default() -> Self {
        Self {
            learns_costs: true,
            sets_level: true,
            adapts_limit: true,
            overload_order: QueueOrder::NewestFirst,
            normal_order: QueueOrder::EarliestDeadline,
        }
    }
}

/// `AdmissionControl` decides which requests hold the slots of one upstream.
#[derive(Debug)]
pub struct AdmissionControl {
    rules: AdmissionFeatures,
    limit: SlotLimit,
    adaptive: AdaptiveLimit,
    queue: AdmissionQueue,
    level: LevelControl,
    costs: CostTable,
    shares: BTreeMap<LaneName, f64>,
    usage_end: Option<Instant>,
}

impl AdmissionControl {
    /// Creates a control with `slots` free slots and no lane bounds.
    #[must_use]
    pub fn new(slots: SlotCount) -> Self {
        Self::with_features(slots, AdmissionFeatures::default())
    }

    /// Creates a control of which parts are switched off.
    #[must_use]
    pub fn with_features(slots: SlotCount, rules: AdmissionFeatures) -> Self {
        Self {
            rules,
            limit: SlotLimit::new(slots),
            adaptive: AdaptiveLimit::new(slots),
            queue: AdmissionQueue::default(),
            level: LevelControl::default(),
            costs: CostTable::default(),
            shares: BTreeMap::new(),
            usage_end: None,
        }
    }

    /// Applies the bounds of a policy.
    pub fn configure(&mut self, slots: SlotCount, lanes: &[LanePolicy]) {
        self.adaptive.set_slots(slots);
        self.limit.set_limit(self.adaptive.limit());
        self.shares = lanes
            .iter()
            .map(|lane| (lane.name.clone(), lane.share))
            .collect();
    }

    /// Begins with few slots, for an upstream that has just started.
    pub fn slow_start(&mut self) {
        self.adaptive.slow_start();
        self.limit.set_limit(self.adaptive.limit());
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

    /// Level of the node's own upstream.
    #[must_use]
    pub const fn level(&self) -> AdmissionLevel {
        if self.rules.sets_level {
            self.level.level()
        } else {
            AdmissionLevel::ADMIT_ALL
        }
    }

    /// Tells whether the queue stands.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.level.is_overloaded()
    }

    /// Service times learned so far.
    #[must_use]
    pub const fn costs(&self) -> &CostTable {
        &self.costs
    }

    /// Slots held in each lane.
    #[must_use]
    pub const fn lanes(&self) -> &BTreeMap<LaneName, u32> {
        self.limit.lanes()
    }

    /// Lane that a request runs in: the listed one, or that of long work where its class was seen
    /// to be long.
    #[must_use]
    pub fn lane_for(&self, class: &str, listed: &LaneName) -> LaneName {
        let is_bounded = self.share(listed) < 1.0;
        if is_bounded || !self.costs.is_long_running(class) {
            return listed.clone();
        }
        let bounded = self.shares.iter().find(|(_, share)| **share < 1.0);
        bounded.map_or_else(|| LEARNED_LANE.into(), |(lane, _)| lane.clone())
    }

    /// Time after which a request can no longer finish by its deadline.
    #[must_use]
    pub fn latest_start(&self, offer: &AdmissionRequest) -> Instant {
        if !self.rules.learns_costs {
            return offer.deadline;
        }
        let needed = self.costs.required_time(&offer.class, offer.timeout);
        offer.deadline.checked_sub(needed).unwrap_or(offer.deadline)
    }

    /// Decides on a request that has just arrived; `change` receives what became of others.
    pub fn offer(
        &mut self,
        now: Instant,
        offer: AdmissionRequest,
        change: &mut QueueChange,
    ) -> AdmissionDecision {
        // Those that wait go before the newcomer where the limit has just risen.
        *change = self.refill(now);
        let latest_start = self.latest_start(&offer);
        if latest_start <= now {
            return AdmissionDecision::Refused(RefusalReason::Timeout);
        }
        if self.has_room(&offer.lane) {
            self.start(&offer.lane, offer.caller, Duration::ZERO);
            self.level.note_passed(offer.importance);
            return AdmissionDecision::Admitted;
        }
        if !self.level().admits(offer.importance, offer.caller) {
            return AdmissionDecision::Refused(RefusalReason::Overload);
        }
        self.level.note_passed(offer.importance);
        self.enqueue(now, offer, latest_start, change)
    }

    /// Notes the time that a request of `class` held its slot of `lane`.
    pub fn record(
        &mut self,
        now: Instant,
        class: &ClassName,
        lane: &LaneName,
        sample: ServiceSample,
    ) {
        let stretch = self.costs.record(now, class, sample);
        self.adaptive.record(sample.own, stretch);
        let learned = self.lane_for(class, lane);
        if learned != *lane {
            self.queue.move_class(class, &learned);
        }
    }

    /// Gives the slot of a finished request to those that wait.
    pub fn release(&mut self, now: Instant, lane: &str) -> QueueChange {
        self.limit.release(lane);
        self.refill(now)
    }

    /// Forgets a waiting request whose caller left.
    pub fn abandon(&mut self, key: EntryKey) {
        self.queue.remove(key);
    }

    /// Refuses entries that can no longer finish and fills free slots.
    pub fn refill(&mut self, now: Instant) -> QueueChange {
        let mut change = QueueChange::default();
        self.advance(now, &mut change);
        while let Some(key) = self.next_fitting() {
            if let Some(entry) = self.queue.remove(key) {
                self.start(&entry.lane, entry.caller, now - entry.arrival);
                let lane = entry.lane;
                change.admitted.push(AdmittedEntry { key, lane });
            }
        }
        change
    }

    /// Moves limit, level and queue to `now`.
    fn advance(&mut self, now: Instant, change: &mut QueueChange) {
        self.expire(now, change);
        let limit = self.adaptive.advance(now, self.limit.in_progress());
        if self.rules.adapts_limit {
            self.limit.set_limit(limit);
        }
        // Work that waits for its lane only is no sign that the upstream is overloaded.
        let oldest = self.queue.oldest_arrival().filter(|_| self.limit.is_full());
        let wait = oldest.map(|arrival| now.saturating_duration_since(arrival));
        if self.level.advance(now, wait) && self.rules.sets_level {
            self.turn_out(change);
        }
        self.queue.set_order(if self.level.is_overloaded() {
            self.rules.overload_order
        } else {
            self.rules.normal_order
        });
        let end = *self.usage_end.get_or_insert(now + FAIRNESS_TIME);
        if now >= end {
            self.queue.decay_usage();
            self.usage_end = Some(now + FAIRNESS_TIME);
        }
    }

    fn expire(&mut self, now: Instant, change: &mut QueueChange) {
        for key in self.queue.find_keys(|entry| entry.latest_start <= now) {
            self.note_expelled();
            self.refuse(key, RefusalReason::Timeout, change);
        }
    }

    fn note_expelled(&mut self) {
        if self.limit.is_full() {
            self.level.note_expelled();
        }
    }

    fn turn_out(&mut self, change: &mut QueueChange) {
        let level = self.level.level();
        let fails = |entry: &QueueEntry| !level.admits(entry.importance, entry.caller);
        for key in self.queue.find_keys(fails) {
            self.refuse(key, RefusalReason::Overload, change);
        }
    }

    fn refuse(&mut self, key: EntryKey, reason: RefusalReason, change: &mut QueueChange) {
        self.queue.remove(key);
        change.refused.push((key, reason));
    }

    fn start(&mut self, lane: &LaneName, caller: CallerHash, wait: Duration) {
        self.limit.acquire(lane);
        self.queue.record_slot(caller);
        self.level.note_started(wait);
    }

    fn next_fitting(&self) -> Option<EntryKey> {
        self.queue.find_first(|entry| self.has_room(&entry.lane))
    }

    fn enqueue(
        &mut self,
        now: Instant,
        offer: AdmissionRequest,
        latest_start: Instant,
        change: &mut QueueChange,
    ) -> AdmissionDecision {
        let key = self.queue.push(QueueEntry {
            importance: offer.importance,
            class: offer.class,
            caller: offer.caller,
            lane: offer.lane,
            arrival: now,
            latest_start,
        });
        let capacity = self.limit.limit().0 * QUEUE_ENTRIES_PER_SLOT;
        if self.queue.len() <= capacity as usize {
            return AdmissionDecision::Queued(key);
        }
        self.note_expelled();
        match self.queue.last() {
            Some(last) if last != key => {
                self.refuse(last, RefusalReason::Overload, change);
                AdmissionDecision::Queued(key)
            }
            _ => {
                self.queue.remove(key);
                AdmissionDecision::Refused(RefusalReason::Overload)
            }
        }
    }

    fn has_room(&self, lane: &str) -> bool {
        self.limit.can_acquire(lane, self.share(lane))
    }

    fn share(&self, lane: &str) -> f64 {
        let unlisted = if lane == LEARNED_LANE {
            LEARNED_LANE_SHARE
        } else {
            1.0
        };
        self.shares.get(lane).copied().unwrap_or(unlisted)
    }
}
