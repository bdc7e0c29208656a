//! Limits on requests in progress.

use crate::{ids::LaneName, units::SlotCount};

use std::collections::BTreeMap;

/// `SlotLimit` counts requests in progress against a limit, in all and for each lane.
#[derive(Debug)]
pub struct SlotLimit {
    limit: SlotCount,
    in_progress: u32,
    lanes: BTreeMap<LaneName, u32>,
}

impl SlotLimit {
    /// Creates a limit with every slot free.
    #[must_use]
    pub fn new(limit: SlotCount) -> Self {
        Self {
            limit,
            in_progress: 0,
            lanes: BTreeMap::new(),
        }
    }

    /// The limit in force.
    #[must_use]
    pub const fn limit(&self) -> SlotCount {
        self.limit
    }

    /// Changes the limit; requests in progress above it run to their end.
    pub const fn set_limit(&mut self, limit: SlotCount) {
        self.limit = limit;
    }

    /// Requests in progress.
    #[must_use]
    pub const fn in_progress(&self) -> u32 {
        self.in_progress
    }

    /// Tells whether every slot is held.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.in_progress >= self.limit.0
    }

    /// Requests in progress in each lane.
    #[must_use]
    pub const fn lanes(&self) -> &BTreeMap<LaneName, u32> {
        &self.lanes
    }

    /// Tells whether a request of `lane`, which may hold `share` of the slots, finds one free.
    /// Each lane may hold one slot at least; one with a share below 1 leaves one to the others.
    #[must_use]
    pub fn can_acquire(&self, lane: &str, share: f64) -> bool {
        let held = self.lanes.get(lane).copied().unwrap_or(0);
        let limit = f64::from(self.limit.0);
        let kept = if share < 1.0 { 1.0 } else { 0.0 };
        let bound = (limit * share).floor().min(limit - kept).max(1.0);
        self.in_progress < self.limit.0 && f64::from(held) < bound
    }

    /// Takes a slot for `lane`.
    pub fn acquire(&mut self, lane: &LaneName) {
        self.in_progress += 1;
        *self.lanes.entry(lane.clone()).or_default() += 1;
    }

    /// Gives a slot of `lane` back.
    pub fn release(&mut self, lane: &str) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(held) = self.lanes.get_mut(lane) {
            *held = held.saturating_sub(1);
        }
    }
}
