//! Concurrency limit that adapts to the observed service times.
//!
//! Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of the Increase and
//! Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989), with delay as the
//! congestion signal as in TCP Vegas (Brakmo and Peterson, 1995). Each decrease is a trial: if
//! service times do not fall with it, concurrent requests do not slow each other down and a lower
//! limit would only cost throughput, so the limit is restored.

use crate::units::SlotCount;

use std::time::Duration;
use tokio::time::Instant;

/// Interval between two changes of the limit.
const ADAPT_WINDOW: Duration = Duration::from_millis(100);
/// Mean slowdown (own time divided by the shortest own time) above which a window counts as
/// congested.
const SLOWDOWN_MAX: f64 = 2.0;
/// Factor by which a decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// Ratio of the slowdown after a decrease to the slowdown before it, up to which the decrease is
/// kept.
const EFFECTIVE_FACTOR: f64 = 0.85;
/// Time between a decrease and its evaluation, in mean own times.
const TRIAL_SERVICE_TIMES: f64 = 2.5;
/// Time without further decreases after one that had no effect.
const DECREASE_PAUSE: Duration = Duration::from_secs(10);
/// Share of the slots that one increase adds.
const INCREASE_SHARE: f64 = 0.05;
/// Lower bound of the limit as a share of the slots; also the limit after a cold start.
const LIMIT_SHARE_MIN: f64 = 0.25;
/// Share of the limit in use from which a congested window leads to a decrease.
const BUSY_SHARE: f64 = 0.8;

/// `AdaptiveLimit` adapts a concurrency limit between a minimum share of the slots and all of them.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    slots: SlotCount,
    limit: f64,
    window_end: Option<Instant>,
    window: SlowdownSum,
    trial: Option<LimitTrial>,
    no_decrease_until: Option<Instant>,
}

/// `SlowdownSum` sums up the service times of a window.
#[derive(Clone, Copy, Debug, Default)]
struct SlowdownSum {
    slowdown: f64,
    own: Duration,
    samples: u32,
}

/// `LimitTrial` is a decrease that has not been evaluated yet.
#[derive(Clone, Copy, Debug)]
struct LimitTrial {
    limit: f64,
    slowdown: f64,
    evaluate_at: Instant,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `slots`.
    #[must_use]
    pub fn new(slots: SlotCount) -> Self {
        Self {
            slots,
            limit: f64::from(slots.0),
            window_end: None,
            window: SlowdownSum::default(),
            trial: None,
            no_decrease_until: None,
        }
    }

    /// Changes the upper bound set by the policy; a limit at the old bound moves to the new one.
    pub fn set_slots(&mut self, slots: SlotCount) {
        let was_at_bound = self.limit >= f64::from(self.slots.0);
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots.0));
        if was_at_bound {
            self.limit = f64::from(slots.0);
        }
    }

    /// Lowers the limit to the value for a cold start.
    pub fn slow_start(&mut self) {
        self.limit = self.limit_min();
        self.trial = None;
    }

    /// Records a finished request: its own time, and its slowdown, which is the own time as a
    /// multiple of the shortest one.
    pub fn record(&mut self, own: Duration, slowdown: f64) {
        self.window.slowdown += slowdown;
        self.window.own += own;
        self.window.samples += 1;
    }

    /// Adapts the limit if the window has ended at `now`, with `in_progress` requests; returns the
    /// limit in force.
    pub fn advance(&mut self, now: Instant, in_progress: u32) -> SlotCount {
        let end = *self.window_end.get_or_insert(now + ADAPT_WINDOW);
        if now >= end {
            let window = std::mem::take(&mut self.window);
            self.adapt(now, in_progress, window);
            // Windows that passed without an event count as increases.
            let idle = (now - end).as_secs_f64() / ADAPT_WINDOW.as_secs_f64();
            self.increase(idle.floor());
            self.window_end = Some(now + ADAPT_WINDOW);
        }
        self.limit()
    }

    /// Returns the limit in force, at least 1.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn limit(&self) -> SlotCount {
        SlotCount((self.limit.floor() as u32).clamp(1, self.slots.0.max(1)))
    }

    fn adapt(&mut self, now: Instant, in_progress: u32, window: SlowdownSum) {
        if let Some(trial) = self.trial {
            self.evaluate_trial(now, trial, window);
            return;
        }
        let is_busy = f64::from(in_progress) >= self.limit * BUSY_SHARE;
        let can_decrease = self.no_decrease_until.is_none_or(|until| until <= now);
        if is_busy && can_decrease && window.slowdown() > SLOWDOWN_MAX {
            self.decrease(now, window);
        } else {
            self.increase(1.0);
        }
    }

    fn decrease(&mut self, now: Instant, window: SlowdownSum) {
        let delay = window.own().mul_f64(TRIAL_SERVICE_TIMES);
        self.trial = Some(LimitTrial {
            limit: self.limit,
            slowdown: window.slowdown(),
            evaluate_at: now + delay,
        });
        self.limit = (self.limit * DECREASE_FACTOR).max(self.limit_min());
    }

    fn evaluate_trial(&mut self, now: Instant, trial: LimitTrial, window: SlowdownSum) {
        if now < trial.evaluate_at || window.samples == 0 {
            return;
        }
        self.trial = None;
        if window.slowdown() > trial.slowdown * EFFECTIVE_FACTOR {
            self.limit = trial.limit;
            self.no_decrease_until = Some(now + DECREASE_PAUSE);
        }
    }

    fn increase(&mut self, windows: f64) {
        let slots = f64::from(self.slots.0);
        self.limit = (self.limit + windows * slots * INCREASE_SHARE).min(slots);
    }

    fn limit_min(&self) -> f64 {
        (f64::from(self.slots.0) * LIMIT_SHARE_MIN).max(1.0)
    }
}

impl SlowdownSum {
    fn slowdown(self) -> f64 {
        self.slowdown / f64::from(self.samples.max(1))
    }

    fn own(self) -> Duration {
        self.own / self.samples.max(1)
    }
}
