//! Budget of the retries that reach one upstream.
//!
//! The fleet may send `ratio` retries for each request to a service, and `slack` more in each
//! window. The node beside an upstream sees every request that reaches it, whoever sends it. If
//! each of these nodes keeps to the ratio over the requests that it receives and to an equal share
//! of the slack, the service as a whole stays within its quota, and the nodes need not exchange
//! their counts.

use super::{retry_quota::RetryQuota, sliding_window::SlidingWindow};

use lagoonshore_state::units::RequestImportance;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Length of the buckets that arrivals are counted in.
const BUCKET_TIME: Duration = Duration::from_millis(500);
/// Share of the allowance that is spent; the rest covers retries that a node cannot see.
const SPENDABLE_SHARE: f64 = 0.8;
/// Share of the slack that is available when a process starts. How many retries its predecessor let
/// through to the same upstream is unknown, so the full slack is available only after one window.
const STARTUP_SLACK_SHARE: f64 = 0.2;
/// Number of retry ranks; higher ranks take precedence.
const RANK_COUNT: usize = 2 * CALL_RANK_COUNT;
/// Number of ranks within one importance: the first, the second and the third call that a request
/// makes, and all later ones.
const CALL_RANK_COUNT: usize = 4;

/// `RetryPriority` ranks a retry against others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPriority {
    /// Importance of the request at the start of the call chain.
    pub importance: RequestImportance,
    /// Calls that the parent request had made before this one; `None` if the request has no parent.
    pub calls_before: Option<u32>,
}

/// `ArrivalBudget` decides which retries reach one upstream.
#[derive(Debug)]
pub struct ArrivalBudget {
    quota: RetryQuota,
    started: Instant,
    /// Listed upstreams of the service, with the time of each change of their number.
    upstreams: VecDeque<(Instant, u32)>,
    arrivals: SlidingWindow<ArrivalCounts>,
}

/// `ArrivalCounts` counts the arrivals of one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalCounts {
    requests: u32,
    /// Retries that asked for admission, by rank.
    requested: [u32; RANK_COUNT],
    /// Retries that were let through, by rank.
    granted: [u32; RANK_COUNT],
    /// Retries that could not be refused.
    forced: u32,
}

impl ArrivalBudget {
    /// Creates the budget of a process that has just started.
    #[must_use]
    pub fn new(now: Instant, quota: RetryQuota) -> Self {
        Self {
            quota,
            started: now,
            upstreams: VecDeque::new(),
            arrivals: SlidingWindow::default(),
        }
    }

    /// Changes the quota.
    pub const fn set_quota(&mut self, quota: RetryQuota) {
        self.quota = quota;
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
        let window = self.quota.window;
        while self
            .upstreams
            .get(1)
            .is_some_and(|(at, _)| *at + window <= now)
        {
            self.upstreams.pop_front();
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Counts a retry that is let through regardless of the budget: a call made by a retried
    /// request.
    pub fn record_retry(&mut self, now: Instant) {
        self.current_bucket(now).forced += 1;
    }

    /// Spends one retry of the budget; `false` if none is left for this priority. Retries that
    /// higher ranks asked for within the window are reserved for them.
    pub fn spend(&mut self, now: Instant, priority: RetryPriority) -> bool {
        let rank = priority.rank();
        self.current_bucket(now).requested[rank] += 1;
        let sum = self.retry_counts(now);
        let (lower, higher) = (&sum.granted[..=rank], &sum.requested[rank + 1..]);
        let used = sum.forced + lower.iter().sum::<u32>() + higher.iter().sum::<u32>();
        if f64::from(used + 1) > self.allowed_retries(now) {
            return false;
        }
        self.current_bucket(now).granted[rank] += 1;
        true
    }

    /// Retries that are allowed in the window that ends at `now`.
    fn allowed_retries(&self, now: Instant) -> f64 {
        let RetryQuota {
            ratio,
            slack,
            window,
        } = self.quota;
        let requests = self.arrivals.within(now, window).map(|sum| sum.requests);
        let requests: u32 = requests.sum();
        let uptime = now.saturating_duration_since(self.started);
        let slack_share =
            (uptime.as_secs_f64() / window.as_secs_f64()).clamp(STARTUP_SLACK_SHARE, 1.0);
        let slack = slack / f64::from(self.slack_sharers(now)) * slack_share;
        SPENDABLE_SHARE * (ratio * f64::from(requests) + slack)
    }

    /// Retries in the window that ends at `now`.
    fn retry_counts(&self, now: Instant) -> ArrivalCounts {
        let mut sum = ArrivalCounts::default();
        for bucket in self.arrivals.overlapping(now, self.quota.window) {
            sum.add(*bucket);
        }
        sum
    }

    /// Upstreams that share the slack. After their number has fallen, other nodes may still use the
    /// shares of the larger one, so the largest number within the window applies and no share is
    /// used twice.
    fn slack_sharers(&self, now: Instant) -> u32 {
        let window = self.quota.window;
        let current = self.upstreams.back().map_or(1, |(_, count)| *count);
        let ends = self.upstreams.iter().skip(1).map(|(at, _)| *at);
        let former = self.upstreams.iter().zip(ends);
        let recent = former.filter(|(_, end)| *end + window > now);
        recent
            .map(|((_, count), _)| *count)
            .fold(current.max(1), u32::max)
    }

    fn current_bucket(&mut self, now: Instant) -> &mut ArrivalCounts {
        self.arrivals.current(now, BUCKET_TIME, self.quota.window)
    }
}

impl ArrivalCounts {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.forced += other.forced;
        for rank in 0..RANK_COUNT {
            self.requested[rank] += other.requested[rank];
            self.granted[rank] += other.granted[rank];
        }
    }
}

impl RetryPriority {
    /// Rank of the retry. The more calls of a request have already been answered, the more work its
    /// failure wastes and the fewer calls remain that may fail, so later calls rank higher. A
    /// request without a parent ranks like a last call. All retries of the highest importance rank
    /// above the rest.
    fn rank(self) -> usize {
        let last = CALL_RANK_COUNT - 1;
        let calls = self
            .calls_before
            .map_or(last, |calls| usize::try_from(calls).unwrap_or(last));
        let is_most_important = self.importance == RequestImportance(0);
        calls.min(last)
            + if is_most_important {
                CALL_RANK_COUNT
            } else {
                0
            }
    }
}
