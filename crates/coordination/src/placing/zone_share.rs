//! Share of the requests for a service that leaves the availability zone of the sender.
//!
//! Nothing leaves while the instances of the own zone have room. Once they are nearly full, a share
//! of the requests leaves if that saves more time than leaving costs. The share follows the excess
//! load in small steps, grows only while other zones have room beyond what their own callers use, and
//! shrinks again once the own zone has room. All senders of a zone see the same load and change
//! their shares alike, so the step is small enough for the load to follow within the time that
//! reports take.

use lagoonshore_state::data_type;
use std::time::Duration;
use tokio::time::Instant;

/// Utilization of the own zone above which the share grows.
const OWN_LOAD_MAX: f64 = 0.9;
/// Utilization of the own zone below which the share shrinks.
const OWN_LOAD_LOW: f64 = 0.8;
/// Utilization up to which other zones take requests; the rest is kept for their own callers.
pub const OTHER_LOAD_MAX: f64 = 0.8;
/// Growth of the share per second and unit of excess load.
const GROWTH_GAIN: f64 = 4.0;
/// Smallest share that leaves; less is not worth the connections to other zones.
const SHARE_MIN: f64 = 0.05;
/// Largest share; the rest stays, and its replies tell the load of the own zone.
const SHARE_MAX: f64 = 0.8;
/// Time constant of the mean load.
const MEAN_LOAD_TIME: Duration = Duration::from_secs(2);
/// Reduction of the share per second and unit of free load.
const REDUCTION_GAIN: f64 = 2.0;
/// Least reduction of the share per second, so that it reaches zero.
const REDUCTION_MIN: f64 = 0.05;
/// Difference from the share that was last reported, from which it is reported again.
const NOTABLE_CHANGE: f64 = 0.1;
/// Shortest time between two steps.
const STEP_TIME_MIN: Duration = Duration::from_millis(50);
/// Longest time that one step accounts for.
const STEP_TIME_MAX: Duration = Duration::from_millis(500);

data_type! {
    /// `ZoneBalance` compares the own zone with the others that can be reached, for one service.
    #[derive(Copy, Default)]
    pub struct ZoneBalance {
        /// Requests that run at the instances of the own zone, as a share of their limits.
        pub own_load: f64,
        /// The same for the other zones; `None` if they have no healthy instance.
        pub other_load: Option<f64>,
        /// Expected completion in the own zone, in seconds.
        pub own_seconds: f64,
        /// Expected completion in the other zones, the link included, in seconds.
        pub other_seconds: f64,
    }
}

/// `ZoneShare` is the share of the requests for one service that leaves the zone.
#[derive(Clone, Debug)]
pub struct ZoneShare {
    share: f64,
    reported_share: f64,
    mean_load: f64,
    stepped_at: Instant,
}

impl ZoneShare {
    /// Creates a share of zero.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            share: 0.0,
            reported_share: 0.0,
            mean_load: 0.0,
            stepped_at: now,
        }
    }

    /// Returns the share: 0, or from `SHARE_MIN` to `SHARE_MAX`.
    #[must_use]
    pub const fn share(&self) -> f64 {
        if self.share < SHARE_MIN {
            return 0.0;
        }
        self.share
    }

    /// Returns whether the own zone has been loaded for a while, so that a queue there is not the
    /// chance of a moment.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.mean_load > OWN_LOAD_LOW
    }

    /// Returns the share if it differs notably from the one that this function returned last, or has
    /// become zero since then.
    pub fn take_change(&mut self) -> Option<f64> {
        let share = self.share();
        let difference = (share - self.reported_share).abs();
        let is_ended = share <= 0.0 && self.reported_share > 0.0;
        if difference < NOTABLE_CHANGE && !is_ended {
            return None;
        }
        self.reported_share = share;
        Some(share)
    }

    /// Adapts the share to `balance`, if a step is due. `leave_cost` is the time that leaving the
    /// zone has to save.
    pub fn step(&mut self, now: Instant, balance: &ZoneBalance, leave_cost: Duration) {
        let elapsed = now.saturating_duration_since(self.stepped_at);
        if elapsed < STEP_TIME_MIN {
            return;
        }
        self.stepped_at = now;
        let seconds = elapsed.min(STEP_TIME_MAX).as_secs_f64();
        let weight = seconds / MEAN_LOAD_TIME.as_secs_f64();
        self.mean_load += weight * (balance.own_load - self.mean_load);
        let mut change = balance.share_change(leave_cost) * seconds;
        // A load that is high for a moment says little, and while a queue shrinks, the share is large
        // enough.
        let is_crowded = self.mean_load > OWN_LOAD_MAX && balance.own_load >= self.mean_load;
        if !is_crowded {
            change = change.min(0.0);
        }
        self.share = (self.share + change).clamp(0.0, SHARE_MAX);
    }
}

impl ZoneBalance {
    /// Returns the change of the share per second.
    fn share_change(&self, leave_cost: Duration) -> f64 {
        let Some(other_load) = self.other_load else {
            return -1.0;
        };
        if other_load >= OTHER_LOAD_MAX {
            return -reduction(other_load - OTHER_LOAD_MAX);
        }
        if self.own_load < OWN_LOAD_LOW {
            return -reduction(OWN_LOAD_LOW - self.own_load);
        }
        let saved = self.own_seconds - self.other_seconds;
        if saved <= 0.0 {
            return -REDUCTION_MIN;
        }
        if saved < leave_cost.as_secs_f64() {
            return 0.0;
        }
        let excess = (self.own_load - OWN_LOAD_MAX).max(0.0);
        GROWTH_GAIN * excess
    }
}

/// Returns the reduction of the share per second.
fn reduction(free_load: f64) -> f64 {
    REDUCTION_MIN + REDUCTION_GAIN * free_load
}
