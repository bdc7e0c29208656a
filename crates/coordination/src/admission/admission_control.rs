//! Admission of requests to the slots of one upstream.
//!
//! No request is refused for overload while a less important one is admitted after it or stays
//! queued: a free slot goes to the first entry of a queue ordered by importance, a full queue
//! evicts its least important entry, and when the admission level becomes stricter, the queued
//! requests that it no longer admits are refused.

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

/// Queue capacity per slot; a longer queue adds waiting time and no throughput.
const QUEUE_ENTRIES_PER_SLOT: u32 = 4;
/// Lane of requests with long service times if the policy bounds no lane.
const LEARNED_LANE: &str = "learned-long";
/// Fraction of the slots that the learned lane may hold.
const LEARNED_LANE_SHARE: f64 = 0.2;
/// Time after which the past slot usage of a caller counts half.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(1);

/// `AdmissionRequest` describes a request for a slot.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Importance assigned by the entry node.
    pub importance: RequestImportance,
    /// Class of the request in the policy of the service.
    pub class: ClassName,
    /// Hash of the client account, assigned by the entry node.
    pub caller: CallerHash,
    /// Lane in which the request runs.
    pub lane: LaneName,
    /// Timeout of the class.
    pub timeout: Duration,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Instant,
}

/// `AdmissionDecision` is the decision on an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request holds a slot.
    Admitted,
    /// The request waits in the queue under this key.
    Queued(EntryKey),
    /// The request is refused.
    Refused(RefusalReason),
}

/// `AdmittedEntry` is a queued request that was given a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmittedEntry {
    /// Key of its queue entry.
    pub key: EntryKey,
    /// Lane in which it holds the slot.
    pub lane: LaneName,
}

/// `QueueChange` lists the queued requests that were admitted or refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueChange {
    /// Entries that were given a slot.
    pub admitted: Vec<AdmittedEntry>,
    /// Entries that were refused, with the reason.
    pub refused: Vec<(EntryKey, RefusalReason)>,
}

/// `AdmissionFeatures` switches single mechanisms of admission control off, to measure the effect
/// of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionFeatures {
    /// Whether requests that cannot finish by their deadline are refused, by learned service times.
    pub learns_costs: bool,
    /// Whether the admission level becomes stricter under overload.
    pub sets_level: bool,
    /// Whether the concurrency limit adapts below the slots of the policy.
    pub adapts_limit: bool,
    /// Queue order during overload.
    pub overload_order: QueueOrder,
    /// Queue order otherwise.
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
    features: AdmissionFeatures,
    limit: SlotLimit,
    adaptive: AdaptiveLimit,
    queue: AdmissionQueue,
    level: LevelControl,
    costs: CostTable,
    shares: BTreeMap<LaneName, f64>,
    usage_window_end: Option<Instant>,
}

impl AdmissionControl {
    /// Creates a control with `slots` free slots, no lane bounds and every mechanism on.
    #[must_use]
    pub fn new(slots: SlotCount) -> Self {
        Self::with_features(slots, AdmissionFeatures::default())
    }

    /// Creates a control with the given mechanisms.
    #[must_use]
    pub fn with_features(slots: SlotCount, features: AdmissionFeatures) -> Self {
        Self {
            features,
            limit: SlotLimit::new(slots),
            adaptive: AdaptiveLimit::new(slots),
            queue: AdmissionQueue::default(),
            level: LevelControl::default(),
            costs: CostTable::default(),
            shares: BTreeMap::new(),
            usage_window_end: None,
        }
    }

    /// Applies the slots and the lane shares of a policy.
    pub fn configure(&mut self, slots: SlotCount, lanes: &[LanePolicy]) {
        self.adaptive.set_slots(slots);
        self.limit.set_limit(self.adaptive.limit());
        self.shares = lanes
            .iter()
            .map(|lane| (lane.name.clone(), lane.share))
            .collect();
    }

    /// Lowers the limit to a few slots, for an upstream that has just started.
    pub fn slow_start(&mut self) {
        self.adaptive.slow_start();
        self.limit.set_limit(self.adaptive.limit());
    }

    /// Number of slots held.
    #[must_use]
    pub const fn in_progress(&self) -> u32 {
        self.limit.in_progress()
    }

    /// Concurrency limit in force, at most the slots of the policy.
    #[must_use]
    pub const fn limit(&self) -> SlotCount {
        self.limit.limit()
    }

    /// Number of requests in the queue.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Admission level of the local upstream.
    #[must_use]
    pub const fn level(&self) -> AdmissionLevel {
        if self.features.sets_level {
            self.level.level()
        } else {
            AdmissionLevel::ADMIT_ALL
        }
    }

    /// Returns whether the last window showed a standing queue.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.level.is_overloaded()
    }

    /// Learned service times.
    #[must_use]
    pub const fn costs(&self) -> &CostTable {
        &self.costs
    }

    /// Number of slots held, by lane.
    #[must_use]
    pub const fn lanes(&self) -> &BTreeMap<LaneName, u32> {
        self.limit.lanes()
    }

    /// Lane in which a request of `class` runs: `listed`, the lane of the policy, unless that lane
    /// is unbounded and the class has long service times. Such a class runs in the first bounded
    /// lane, or in the learned lane if there is none.
    #[must_use]
    pub fn lane_for(&self, class: &str, listed: &LaneName) -> LaneName {
        let is_bounded = self.share(listed) < 1.0;
        if is_bounded || !self.costs.is_long_running(class) {
            return listed.clone();
        }
        let bounded = self.shares.iter().find(|(_, share)| **share < 1.0);
        bounded.map_or_else(|| LEARNED_LANE.into(), |(lane, _)| lane.clone())
    }

    /// Latest start with which a request still finishes by its deadline, by learned service times.
    #[must_use]
    pub fn latest_start(&self, request: &AdmissionRequest) -> Instant {
        if !self.features.learns_costs {
            return request.deadline;
        }
        let needed = self.costs.required_time(&request.class, request.timeout);
        request
            .deadline
            .checked_sub(needed)
            .unwrap_or(request.deadline)
    }

    /// Admits, queues or refuses a request that has just arrived; `change` is set to the decisions
    /// on requests that were queued before.
    pub fn offer(
        &mut self,
        now: Instant,
        request: AdmissionRequest,
        change: &mut QueueChange,
    ) -> AdmissionDecision {
        // If the limit has just risen, queued requests get the free slots before the new one.
        *change = self.refill(now);
        let latest_start = self.latest_start(&request);
        if latest_start <= now {
            return AdmissionDecision::Refused(RefusalReason::Timeout);
        }
        if self.has_room(&request.lane) {
            self.start(&request.lane, request.caller, Duration::ZERO);
            self.level.record_admitted(request.importance);
            return AdmissionDecision::Admitted;
        }
        if !self.level().admits(request.importance, request.caller) {
            return AdmissionDecision::Refused(RefusalReason::Overload);
        }
        self.level.record_admitted(request.importance);
        self.enqueue(now, request, latest_start, change)
    }

    /// Records the service time of a request of `class` that ran in `lane`.
    pub fn record(
        &mut self,
        now: Instant,
        class: &ClassName,
        lane: &LaneName,
        sample: ServiceSample,
    ) {
        let slowdown = self.costs.record(now, class, sample);
        self.adaptive.record(sample.own, slowdown);
        let learned = self.lane_for(class, lane);
        if learned != *lane {
            self.queue.move_class(class, &learned);
        }
    }

    /// Releases the slot of a finished request and admits queued requests.
    pub fn release(&mut self, now: Instant, lane: &str) -> QueueChange {
        self.limit.release(lane);
        self.refill(now)
    }

    /// Removes a queued request whose caller disconnected.
    pub fn abandon(&mut self, key: EntryKey) {
        self.queue.remove(key);
    }

    /// Refuses queued requests that can no longer finish by their deadline and fills free slots.
    pub fn refill(&mut self, now: Instant) -> QueueChange {
        let mut change = QueueChange::default();
        self.advance(now, &mut change);
        while let Some(key) = self.next_admissible() {
            if let Some(entry) = self.queue.remove(key) {
                self.start(&entry.lane, entry.caller, now - entry.arrival);
                let lane = entry.lane;
                change.admitted.push(AdmittedEntry { key, lane });
            }
        }
        change
    }

    /// Updates limit, level and queue order for `now`.
    fn advance(&mut self, now: Instant, change: &mut QueueChange) {
        self.expire(now, change);
        let limit = self.adaptive.advance(now, self.limit.in_progress());
        if self.features.adapts_limit {
            self.limit.set_limit(limit);
        }
        // A request that waits only for its lane does not show that the upstream is overloaded.
        let oldest = self.queue.oldest_arrival().filter(|_| self.limit.is_full());
        let wait = oldest.map(|arrival| now.saturating_duration_since(arrival));
        if self.level.advance(now, wait) && self.features.sets_level {
            self.refuse_below_level(change);
        }
        self.queue.set_order(if self.level.is_overloaded() {
            self.features.overload_order
        } else {
            self.features.normal_order
        });
        let end = *self.usage_window_end.get_or_insert(now + USAGE_HALF_LIFE);
        if now >= end {
            self.queue.decay_usage();
            self.usage_window_end = Some(now + USAGE_HALF_LIFE);
        }
    }

    fn expire(&mut self, now: Instant, change: &mut QueueChange) {
        for key in self.queue.find_keys(|entry| entry.latest_start <= now) {
            self.record_drop();
            self.refuse(key, RefusalReason::Timeout, change);
        }
    }

    fn record_drop(&mut self) {
        if self.limit.is_full() {
            self.level.record_drop();
        }
    }

    fn refuse_below_level(&mut self, change: &mut QueueChange) {
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
        self.level.record_started(wait);
    }

    fn next_admissible(&self) -> Option<EntryKey> {
        self.queue.find_first(|entry| self.has_room(&entry.lane))
    }

    fn enqueue(
        &mut self,
        now: Instant,
        request: AdmissionRequest,
        latest_start: Instant,
        change: &mut QueueChange,
    ) -> AdmissionDecision {
        let key = self.queue.push(QueueEntry {
            importance: request.importance,
            class: request.class,
            caller: request.caller,
            lane: request.lane,
            arrival: now,
            latest_start,
        });
        let capacity = self.limit.limit().0 * QUEUE_ENTRIES_PER_SLOT;
        if self.queue.len() <= capacity as usize {
            return AdmissionDecision::Queued(key);
        }
        self.record_drop();
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
