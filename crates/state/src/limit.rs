//! Concurrency limit with a share of the slots for each lane.

use crate::{ids::LaneName, units::SlotCount};

use std::collections::BTreeMap;

/// `SlotLimit` counts requests in progress against a limit, in total and for each lane.
#[derive(Debug)]
pub struct SlotLimit {
    limit: SlotCount,
    in_progress: u32,
    lanes: BTreeMap<LaneName, u32>,
}

impl SlotLimit {
    /// Creates a limit with all slots free.
    #[must_use]
    pub fn new(limit: SlotCount) -> Self {
        Self {
            limit,
            in_progress: 0,
            lanes: BTreeMap::new(),
        }
    }

    /// Returns the limit in force.
    #[must_use]
    pub const fn limit(&self) -> SlotCount {
        self.limit
    }

    /// Changes the limit. Requests in progress above a lowered limit run to completion.
    pub const fn set_limit(&mut self, limit: SlotCount) {
        self.limit = limit;
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub const fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Returns `true` if no slot is free.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.in_progress >= self.limit.0
    }

    /// Returns the number of requests in progress in each lane.
    #[must_use]
    pub const fn lanes(&self) -> &BTreeMap<LaneName, u32> {
        &self.lanes
    }

    /// Returns `true` if a slot is free for a request of `lane`, which may hold `share` of the
    /// slots (0 to 1). Each lane may hold at least one slot; a lane with a share below 1 leaves at
    /// least one slot to the others.
    #[must_use]
    pub fn can_acquire(&self, lane: &str, share: f64) -> bool {
        let held = self.lanes.get(lane).copied().unwrap_or(0);
        let limit = f64::from(self.limit.0);
        let reserved = if share < 1.0 { 1.0 } else { 0.0 };
        let bound = (limit * share).floor().min(limit - reserved).max(1.0);
        self.in_progress < self.limit.0 && f64::from(held) < bound
    }

    /// Acquires a slot for `lane`. The limit is not checked here.
    pub fn acquire(&mut self, lane: &LaneName) {
        self.in_progress += 1;
        *self.lanes.entry(lane.clone()).or_default() += 1;
    }

    /// Releases a slot of `lane`.
    pub fn release(&mut self, lane: &str) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(held) = self.lanes.get_mut(lane) {
            *held = held.saturating_sub(1);
        }
    }
}
