//! A limit on requests in progress that follows the service times which a node sees.
//!
//! Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of the Increase and
//! Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989), with delay as the
//! sign of congestion as in TCP Vegas (Brakmo and Peterson, 1995).

use crate::units::SlotCount;

use std::time::Duration;
use tokio::time::Instant;

/// Time between two changes of the limit.
const ADAPT_WINDOW: Duration = Duration::from_millis(100);
/// Mean of own time over shortest own time from which a window counts as congested.
const STRETCH_MAX: f64 = 2.0;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.9;
/// Share of the slots added by an increase.
const INCREASE_SHARE: f64 = 0.05;
/// Share of the slots below which the limit does not fall, and from which a cold start begins.
const LIMIT_SHARE_MIN: f64 = 0.25;
/// Share of the limit in use from which stretched service times count against it.
const BUSY_SHARE: f64 = 0.8;

/// `AdaptiveLimit` adapts the limit between a share of the slots and all of them.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    slots: SlotCount,
    limit: f64,
    window_end: Option<Instant>,
    stretch_sum: f64,
    samples: u32,
}

impl AdaptiveLimit {
    /// Creates a limit at `slots`.
    #[must_use]
    pub fn new(slots: SlotCount) -> Self {
        Self {
            slots,
            limit: f64::from(slots.0),
            window_end: None,
            stretch_sum: 0.0,
            samples: 0,
        }
    }

    /// Changes the bound of the policy; a limit at the old bound moves to the new one.
    pub fn set_slots(&mut self, slots: SlotCount) {
        let was_whole = self.limit >= f64::from(self.slots.0);
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots.0));
        if was_whole {
            self.limit = f64::from(slots.0);
        }
    }

    /// Goes back to the limit of a cold start.
    pub fn slow_start(&mut self) {
        self.limit = self.limit_min();
    }

    /// Notes the own time of a finished request as a multiple of the shortest one.
    pub fn record(&mut self, stretch: f64) {
        self.stretch_sum += stretch;
        self.samples += 1;
    }

    /// Moves to `now` with `in_progress` requests; returns the limit in force.
    pub fn advance(&mut self, now: Instant, in_progress: u32) -> SlotCount {
        let end = *self.window_end.get_or_insert(now + ADAPT_WINDOW);
        if now >= end {
            self.adapt(in_progress);
            // Idle windows count as increases, bounded by the way from the least limit up.
            let idle = (now - end).as_secs_f64() / ADAPT_WINDOW.as_secs_f64();
            self.raise(idle.floor());
            self.window_end = Some(now + ADAPT_WINDOW);
        }
        self.limit()
    }

    /// The limit in force.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn limit(&self) -> SlotCount {
        SlotCount((self.limit.floor() as u32).clamp(1, self.slots.0.max(1)))
    }

    fn adapt(&mut self, in_progress: u32) {
        let stretch = self.stretch_sum / f64::from(self.samples.max(1));
        let is_busy = f64::from(in_progress) >= self.limit * BUSY_SHARE;
        if is_busy && stretch > STRETCH_MAX {
            self.limit = (self.limit * DECREASE_FACTOR).max(self.limit_min());
        } else {
            self.raise(1.0);
        }
        self.stretch_sum = 0.0;
        self.samples = 0;
    }

    fn raise(&mut self, windows: f64) {
        let slots = f64::from(self.slots.0);
        self.limit = (self.limit + windows * slots * INCREASE_SHARE).min(slots);
    }

    fn limit_min(&self) -> f64 {
        (f64::from(self.slots.0) * LIMIT_SHARE_MIN).max(1.0)
    }
}
