//! The admission level of the local upstream.
//!
//! Overload is detected as a standing queue: the shortest wait in a window stays above a target,
//! as in "Controlling Queue Delay" (Nichols and Jacobson, 2012). The level is then tightened to
//! the fraction of requests that got a slot, and relaxed step by step once the queue drains.

use lagoonshore_state::{
    admission_level::{AdmissionLevel, CALLER_PARTS},
    ids::CallerHash,
    units::RequestImportance,
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Interval between changes of the level.
const LEVEL_WINDOW: Duration = Duration::from_millis(50);
/// The queue is a standing queue if the shortest wait in a window exceeds this.
const QUEUE_DELAY_TARGET: Duration = Duration::from_millis(50);
/// Caller parts that the first relaxing step adds; each further step doubles it.
const STEP_PARTS_MIN: u32 = 64;
/// Upper bound on the caller parts that one step adds.
const STEP_PARTS_MAX: u32 = 256;
/// Least and greatest fraction of requests that stay admitted when the level is tightened.
const KEPT_SHARE: (f64, f64) = (0.5, 0.95);
/// Caller parts admitted at the strictest level; their requests probe the service.
const PARTS_MIN: u16 = 64;
/// Decay factor of the request counts from one window to the next.
const COUNT_DECAY: f64 = 0.7;

/// `LevelControl` sets the admission level of one node from the waiting times in its queue.
#[derive(Debug, Default)]
pub struct LevelControl {
    level: AdmissionLevel,
    window_end: Option<Instant>,
    admitted: BTreeMap<RequestImportance, f64>,
    started: f64,
    has_dropped: bool,
    shortest_wait: Option<Duration>,
    overloaded: bool,
    step_parts: u32,
}

impl LevelControl {
    /// Level in force.
    #[must_use]
    pub const fn level(&self) -> AdmissionLevel {
        self.level
    }

    /// Returns whether the last window showed a standing queue.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Returns whether the level admits a request.
    #[must_use]
    pub fn admits(&self, importance: RequestImportance, caller: CallerHash) -> bool {
        self.level.admits(importance, caller)
    }

    /// Counts a request that the level admitted.
    pub fn record_admitted(&mut self, importance: RequestImportance) {
        *self.admitted.entry(importance).or_default() += 1.0;
    }

    /// Counts a request that got a slot after `wait`.
    pub fn record_started(&mut self, wait: Duration) {
        self.started += 1.0;
        let shortest = self.shortest_wait.unwrap_or(wait);
        self.shortest_wait = Some(shortest.min(wait));
    }

    /// Records that a request left the queue without a slot, because the queue was full or the
    /// request could no longer finish by its deadline.
    pub const fn record_drop(&mut self) {
        self.has_dropped = true;
    }

    /// Updates the level if the window has ended; `oldest_wait` is the longest wait in the queue.
    /// Returns whether the level became stricter, in which case the queue may hold requests that
    /// it no longer admits.
    pub fn advance(&mut self, now: Instant, oldest_wait: Option<Duration>) -> bool {
        let end = *self.window_end.get_or_insert(now + LEVEL_WINDOW);
        if now < end {
            return false;
        }
        self.overloaded = self.has_standing_queue(oldest_wait);
        let before = self.level;
        if self.overloaded {
            self.tighten();
        } else {
            let idle = (now - end).as_millis() / LEVEL_WINDOW.as_millis();
            self.relax(u32::try_from(idle).unwrap_or(u32::MAX).saturating_add(1));
        }
        self.start_window(now);
        self.level < before
    }

    fn has_standing_queue(&self, oldest_wait: Option<Duration>) -> bool {
        let is_oldest_above_target = oldest_wait.is_some_and(|wait| wait > QUEUE_DELAY_TARGET);
        let is_shortest_above_target = self
            .shortest_wait
            .is_none_or(|wait| wait > QUEUE_DELAY_TARGET);
        self.has_dropped || (is_oldest_above_target && is_shortest_above_target)
    }

    fn tighten(&mut self) {
        self.step_parts = STEP_PARTS_MIN;
        let admitted: f64 = self.admitted.values().sum();
        if admitted <= 0.0 {
            return;
        }
        let kept = (self.started / admitted).clamp(KEPT_SHARE.0, KEPT_SHARE.1);
        let mut budget = admitted * kept;
        for (importance, count) in &self.admitted {
            if *count >= budget {
                self.level = self
                    .level
                    .stricter_of(self.level_for_share(*importance, budget / count));
                return;
            }
            budget -= count;
        }
    }

    /// Level that admits the fraction `share` of the requests of `importance` that the current
    /// level admits.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn level_for_share(&self, importance: RequestImportance, share: f64) -> AdmissionLevel {
        let is_partial = importance == self.level.importance;
        let whole = if is_partial {
            self.level.parts
        } else {
            CALLER_PARTS
        };
        let parts = (f64::from(whole) * share) as u16;
        AdmissionLevel {
            importance,
            parts: parts.max(PARTS_MIN),
        }
    }

    fn relax(&mut self, windows: u32) {
        for _ in 0..windows {
            if self.level == AdmissionLevel::ADMIT_ALL {
                return;
            }
            self.level = self.level.relaxed(self.step_parts);
            self.step_parts = (self.step_parts * 2).clamp(STEP_PARTS_MIN, STEP_PARTS_MAX);
        }
    }

    fn start_window(&mut self, now: Instant) {
        for count in self.admitted.values_mut() {
            *count *= COUNT_DECAY;
        }
        self.admitted.retain(|_, count| *count > 0.1);
        self.started *= COUNT_DECAY;
        self.has_dropped = false;
        self.shortest_wait = None;
        self.window_end = Some(now + LEVEL_WINDOW);
    }
}
