//! A limit on requests in progress that follows the service times which a node sees.
//!
//! Additive increase, multiplicative decrease (Chiu and Jain, "Analysis of the Increase and
//! Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989), with delay as the
//! sign of congestion as in TCP Vegas (Brakmo and Peterson, 1995). A decrease is a trial: where
//! service times do not fall with it, the requests do not slow each other down, and fewer of them
//! would only cost throughput. The limit then goes back.

use crate::units::SlotCount;

use std::time::Duration;
use tokio::time::Instant;

/// Time between two changes of the limit.
const ADAPT_WINDOW: Duration = Duration::from_millis(100);
/// Mean of own time over shortest own time from which a window counts as congested.
const STRETCH_MAX: f64 = 2.0;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.7;
/// Factor by which service times must fall for a decrease to stay.
const HELPFUL_FACTOR: f64 = 0.85;
/// Service times between a decrease and its judgement.
const TRIAL_SERVICE_TIMES: f64 = 2.5;
/// Time without decreases after one that did not help.
const FUTILE_TIME: Duration = Duration::from_secs(10);
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
    seen: StretchSum,
    trial: Option<LimitTrial>,
    futile_until: Option<Instant>,
}

/// `StretchSum` adds up the service times of a window.
#[derive(Clone, Copy, Debug, Default)]
struct StretchSum {
    stretch: f64,
    own: Duration,
    samples: u32,
}

/// `LimitTrial` is a decrease that has not been judged yet.
#[derive(Clone, Copy, Debug)]
struct LimitTrial {
    limit: f64,
    stretch: f64,
    settled: Instant,
}

impl AdaptiveLimit {
    /// Creates a limit at `slots`.
    #[must_use]
    pub fn new(slots: SlotCount) -> Self {
        Self {
            slots,
            limit: f64::from(slots.0),
            window_end: None,
            seen: StretchSum::default(),
            trial: None,
            futile_until: None,
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
        self.trial = None;
    }

    /// Notes the own time of a finished request, and the same as a multiple of the shortest one.
    pub fn record(&mut self, own: Duration, stretch: f64) {
        self.seen.stretch += stretch;
        self.seen.own += own;
        self.seen.samples += 1;
    }

    /// Moves to `now` with `in_progress` requests; returns the limit in force.
    pub fn advance(&mut self, now: Instant, in_progress: u32) -> SlotCount {
        let end = *self.window_end.get_or_insert(now + ADAPT_WINDOW);
        if now >= end {
            let seen = std::mem::take(&mut self.seen);
            self.adapt(now, in_progress, seen);
            // Windows that passed without an event count as increases.
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

    fn adapt(&mut self, now: Instant, in_progress: u32, seen: StretchSum) {
        if let Some(trial) = self.trial {
            self.judge(now, trial, seen);
            return;
        }
        let is_busy = f64::from(in_progress) >= self.limit * BUSY_SHARE;
        let may_cut = self.futile_until.is_none_or(|until| until <= now);
        if is_busy && may_cut && seen.stretch() > STRETCH_MAX {
            self.cut(now, seen);
        } else {
            self.raise(1.0);
        }
    }

    fn cut(&mut self, now: Instant, seen: StretchSum) {
        let settle = seen.own().mul_f64(TRIAL_SERVICE_TIMES);
        self.trial = Some(LimitTrial {
            limit: self.limit,
            stretch: seen.stretch(),
            settled: now + settle,
        });
        self.limit = (self.limit * DECREASE_FACTOR).max(self.limit_min());
    }

    fn judge(&mut self, now: Instant, trial: LimitTrial, seen: StretchSum) {
        if now < trial.settled || seen.samples == 0 {
            return;
        }
        self.trial = None;
        if seen.stretch() > trial.stretch * HELPFUL_FACTOR {
            self.limit = trial.limit;
            self.futile_until = Some(now + FUTILE_TIME);
        }
    }

    fn raise(&mut self, windows: f64) {
        let slots = f64::from(self.slots.0);
        self.limit = (self.limit + windows * slots * INCREASE_SHARE).min(slots);
    }

    fn limit_min(&self) -> f64 {
        (f64::from(self.slots.0) * LIMIT_SHARE_MIN).max(1.0)
    }
}

impl StretchSum {
    fn stretch(self) -> f64 {
        self.stretch / f64::from(self.samples.max(1))
    }

    fn own(self) -> Duration {
        self.own / self.samples.max(1)
    }
}
