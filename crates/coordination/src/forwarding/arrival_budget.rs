//! Bound on the repeats that reach one upstream.
//!
//! The fleet may make `ratio` repeats for each request to a service, and `slack` more in each
//! window. The node beside an upstream sees all that reaches it, whoever sends it. If each of them
//! keeps to the ratio over its own arrivals and to an equal part of the slack, so does the service,
//! and no node needs to know what the others do.

use super::{retry_quota::RetryQuota, window_parts::WindowParts};

use lagoonshore_state::units::RequestImportance;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Length of the parts that a window is counted in.
const PART_TIME: Duration = Duration::from_millis(500);
/// Share of the allowance that is spent; the rest is left for what a node cannot see.
const USED_SHARE: f64 = 0.8;
/// Share of the slack that a process has as it starts. What one before it let through beside the same
/// upstream is not known, so that the rest is there only after a window.
const START_SHARE: f64 = 0.2;
/// Ranks of repeats. Those that rank higher go first.
const RANKS: usize = 2 * CALL_RANKS;
/// Ranks of calls of one importance: the first, second and third one of a run, and later ones.
const CALL_RANKS: usize = 4;

/// `RetryPriority` says what speaks for a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPriority {
    /// Importance of the first request of its chain.
    pub importance: RequestImportance,
    /// Calls that its parent's run had made before it; `None` for a request that no run makes.
    pub calls_before: Option<u32>,
}

/// `ArrivalBudget` decides which repeats reach one upstream.
#[derive(Debug)]
pub struct ArrivalBudget {
    bound: RetryQuota,
    started: Instant,
    /// Upstreams of the service that were listed, with the time of each change.
    upstreams: VecDeque<(Instant, u32)>,
    parts: WindowParts<ArrivalSum>,
}

/// What arrived in a part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalSum {
    requests: u32,
    /// Repeats that were asked for, by rank.
    wanted: [u32; RANKS],
    /// Repeats that were let through, by rank.
    taken: [u32; RANKS],
    /// Repeats that could not be refused.
    forced: u32,
}

impl ArrivalBudget {
    /// Creates the budget of a node that has just started.
    #[must_use]
    pub fn new(now: Instant, bound: RetryQuota) -> Self {
        Self {
            bound,
            started: now,
            upstreams: VecDeque::new(),
            parts: WindowParts::default(),
        }
    }

    /// Changes the bound.
    pub const fn set_quota(&mut self, bound: RetryQuota) {
        self.bound = bound;
    }

    /// Sets the number of upstreams that share the slack.
    pub fn set_upstreams(&mut self, now: Instant, count: u32) {
        if self
            .upstreams
            .back()
            .is_none_or(|(_, known)| *known != count)
        {
            self.upstreams.push_back((now, count));
        }
        let window = self.bound.window;
        while self
            .upstreams
            .get(1)
            .is_some_and(|(at, _)| *at + window <= now)
        {
            self.upstreams.pop_front();
        }
    }

    /// Counts the first arrival of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.part(now).requests += 1;
    }

    /// Counts a repeat that is let through whatever the budget says: a call of a run that is one.
    pub fn record_retry(&mut self, now: Instant) {
        self.part(now).forced += 1;
    }

    /// Takes one repeat out of the budget; `false` if none is left for it. What higher ranks lately
    /// asked for is left for them.
    pub fn spend(&mut self, now: Instant, claim: RetryPriority) -> bool {
        let rank = claim.rank();
        self.part(now).wanted[rank] += 1;
        let sum = self.repeats(now);
        let (lower, higher) = (&sum.taken[..=rank], &sum.wanted[rank + 1..]);
        let used = sum.forced + lower.iter().sum::<u32>() + higher.iter().sum::<u32>();
        if f64::from(used + 1) > self.allowed(now) {
            return false;
        }
        self.part(now).taken[rank] += 1;
        true
    }

    /// Repeats that may be made in the window that ends now.
    fn allowed(&self, now: Instant) -> f64 {
        let RetryQuota {
            ratio,
            slack,
            window,
        } = self.bound;
        let requests = self.parts.within(now, window).map(|sum| sum.requests);
        let requests: u32 = requests.sum();
        let uptime = now.saturating_duration_since(self.started);
        let warmth = (uptime.as_secs_f64() / window.as_secs_f64()).clamp(START_SHARE, 1.0);
        let slack = slack / f64::from(self.sharers(now)) * warmth;
        USED_SHARE * (ratio * f64::from(requests) + slack)
    }

    /// Repeats in the window that ends now.
    fn repeats(&self, now: Instant) -> ArrivalSum {
        let mut sum = ArrivalSum::default();
        for part in self.parts.reaching(now, self.bound.window) {
            sum.add(*part);
        }
        sum
    }

    /// Upstreams that share the slack. A smaller number than others still count with would free parts
    /// that they use, so that the largest one within the window counts.
    fn sharers(&self, now: Instant) -> u32 {
        let window = self.bound.window;
        let current = self.upstreams.back().map_or(1, |(_, count)| *count);
        let ends = self.upstreams.iter().skip(1).map(|(at, _)| *at);
        let former = self.upstreams.iter().zip(ends);
        let recent = former.filter(|(_, end)| *end + window > now);
        recent
            .map(|((_, count), _)| *count)
            .fold(current.max(1), u32::max)
    }

    fn part(&mut self, now: Instant) -> &mut ArrivalSum {
        self.parts.current(now, PART_TIME, self.bound.window)
    }
}

impl ArrivalSum {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.forced += other.forced;
        for rank in 0..RANKS {
            self.wanted[rank] += other.wanted[rank];
            self.taken[rank] += other.taken[rank];
        }
    }
}

impl RetryPriority {
    /// The more calls of a run were served, the more is lost with it, and the fewer are still to come
    /// that may fail. A request that no run makes is like a last call. All of the highest importance
    /// goes before the rest.
    fn rank(self) -> usize {
        let last = CALL_RANKS - 1;
        let calls = self
            .calls_before
            .map_or(last, |calls| usize::try_from(calls).unwrap_or(last));
        let is_urgent = self.importance == RequestImportance(0);
        calls.min(last) + if is_urgent { CALL_RANKS } else { 0 }
    }
}
