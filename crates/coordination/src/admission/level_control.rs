//! The admission level of a node's own upstream.
//!
//! Overload shows as a standing queue: the shortest wait of a window stays above a target, as in
//! "Controlling Queue Delay" (Nichols and Jacobson, 2012). The level then falls to the share of
//! requests that found a slot, and rises again step by step once the queue no longer stands.

use lagoonshore_state::{
    admission_level::{AdmissionLevel, CALLER_PARTS},
    ids::CallerHash,
    units::RequestImportance,
};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Time between two changes of the level.
const LEVEL_WINDOW: Duration = Duration::from_millis(50);
/// Shortest wait of a window from which the queue counts as standing.
const QUEUE_DELAY_TARGET: Duration = Duration::from_millis(50);
/// Parts of callers that the first step up admits; each further step doubles.
const STEP_PARTS_MIN: u32 = 64;
/// Parts of callers that one step up admits at most.
const STEP_PARTS_MAX: u32 = 256;
/// Bounds on the share of requests that stay admitted when the level falls.
const KEPT_SHARE: (f64, f64) = (0.5, 0.95);
/// Parts of callers that stay admitted at the strictest level, to probe the service.
const PARTS_MIN: u16 = 64;
/// Share of the counts that is carried into the next window.
const CARRIED_SHARE: f64 = 0.7;

/// `LevelControl` follows the queue of one node and sets its admission level.
#[derive(Debug, Default)]
pub struct LevelControl {
    level: AdmissionLevel,
    window_end: Option<Instant>,
    passed: BTreeMap<RequestImportance, f64>,
    started: f64,
    expelled: bool,
    shortest_wait: Option<Duration>,
    overloaded: bool,
    step: u32,
}

impl LevelControl {
    /// The level in force.
    #[must_use]
    pub const fn level(&self) -> AdmissionLevel {
        self.level
    }

    /// Tells whether the last window showed a standing queue.
    #[must_use]
    pub const fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Tells whether a request passes the level.
    #[must_use]
    pub fn admits(&self, importance: RequestImportance, caller: CallerHash) -> bool {
        self.level.admits(importance, caller)
    }

    /// Notes a request that passed the level.
    pub fn note_passed(&mut self, importance: RequestImportance) {
        *self.passed.entry(importance).or_default() += 1.0;
    }

    /// Notes a request that found a slot after `wait`.
    pub fn note_started(&mut self, wait: Duration) {
        self.started += 1.0;
        let shortest = self.shortest_wait.unwrap_or(wait);
        self.shortest_wait = Some(shortest.min(wait));
    }

    /// Notes a request that the queue turned out, because it was full or the request too late.
    pub const fn note_expelled(&mut self) {
        self.expelled = true;
    }

    /// Moves to `now`; `oldest_wait` is the longest wait in the queue. Returns whether the level
    /// fell, so that the queue may hold requests that no longer pass.
    pub fn advance(&mut self, now: Instant, oldest_wait: Option<Duration>) -> bool {
        let end = *self.window_end.get_or_insert(now + LEVEL_WINDOW);
        if now < end {
            return false;
        }
        self.overloaded = self.shows_overload(oldest_wait);
        let before = self.level;
        if self.overloaded {
            self.fall();
        } else {
            let idle = (now - end).as_millis() / LEVEL_WINDOW.as_millis();
            self.rise(u32::try_from(idle).unwrap_or(u32::MAX).saturating_add(1));
        }
        self.start_window(now);
        self.level < before
    }

    fn shows_overload(&self, oldest_wait: Option<Duration>) -> bool {
        let stands = oldest_wait.is_some_and(|wait| wait > QUEUE_DELAY_TARGET);
        let waits = self
            .shortest_wait
            .is_none_or(|wait| wait > QUEUE_DELAY_TARGET);
        self.expelled || (stands && waits)
    }

    fn fall(&mut self) {
        self.step = STEP_PARTS_MIN;
        let passed: f64 = self.passed.values().sum();
        if passed <= 0.0 {
            return;
        }
        let kept = (self.started / passed).clamp(KEPT_SHARE.0, KEPT_SHARE.1);
        let mut budget = passed * kept;
        for (importance, count) in &self.passed {
            if *count >= budget {
                self.level = self
                    .level
                    .stricter_of(self.share(*importance, budget / count));
                return;
            }
            budget -= count;
        }
    }

    /// The level that admits `share` of those of `importance` that pass now.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn share(&self, importance: RequestImportance, share: f64) -> AdmissionLevel {
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

    fn rise(&mut self, windows: u32) {
        for _ in 0..windows {
            if self.level == AdmissionLevel::ADMIT_ALL {
                return;
            }
            self.level = self.level.relaxed(self.step);
            self.step = (self.step * 2).clamp(STEP_PARTS_MIN, STEP_PARTS_MAX);
        }
    }

    fn start_window(&mut self, now: Instant) {
        for count in self.passed.values_mut() {
            *count *= CARRIED_SHARE;
        }
        self.passed.retain(|_, count| *count > 0.1);
        self.started *= CARRIED_SHARE;
        self.expelled = false;
        self.shortest_wait = None;
        self.window_end = Some(now + LEVEL_WINDOW);
    }
}
