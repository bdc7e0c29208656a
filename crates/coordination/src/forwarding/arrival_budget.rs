//! Budget of the retries that reach one upstream.
//!
//! The fleet may send `ratio` retries for each request to a service, and `slack` more in each
//! window. The node beside an upstream sees every request that reaches it, whoever sends it. If
//! each of these nodes keeps to the ratio over the requests that it receives and to an equal share
//! of the slack, the service as a whole stays within its quota, and the nodes need not exchange
//! their counts.
//!
//! It is made for this load: an upstream that rejects a large share of its requests for longer than
//! the budget lasts. Chains of several calls need all of them, so a budget that is spent in the
//! order of arrival is used up by chains that fail later. Retries of more important chains, and of
//! those that are nearer to their end, are therefore expected to go on at their current rate for
//! `PLANNED_TIME`, and others get only what those are not expected to need.

use super::{
    request_history::RequestHistory,
    retry_priority::{RANK_COUNT, RetryPriority},
    retry_quota::RetryQuota,
    sliding_window::SlidingWindow,
};

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Length of the buckets that retries are counted in.
const BUCKET_TIME: Duration = Duration::from_millis(250);
/// Share of the allowance that is spent; the rest covers retries that a node cannot see.
const SPENDABLE_SHARE: f64 = 0.8;
/// Parts of a window after which the quota is checked as well if requests of earlier windows count:
/// the windows that end then contain a retry of now, but fewer of the earlier requests.
const CHECKED_PARTS: [f64; 3] = [0.25, 0.5, 0.75];
/// Share of the slack that is available when a process starts. How many retries its predecessor let
/// through to the same upstream is unknown, so the full slack is available only after one window.
const STARTUP_SLACK_SHARE: f64 = 0.2;
/// Time for which the retries of higher ranks are expected to go on.
const PLANNED_TIME: Duration = Duration::from_secs(3);
/// Time over which the rate of retries is measured.
const RATE_TIME: Duration = Duration::from_secs(1);
/// Least time for which retries must have been requested before their rate is known.
const RATE_TIME_MIN: Duration = Duration::from_millis(100);

/// `ArrivalBudget` decides which retries reach one upstream.
#[derive(Debug)]
pub struct ArrivalBudget {
    quota: RetryQuota,
    started: Instant,
    /// Listed upstreams of the service, with the time of each change of their number.
    upstreams: VecDeque<(Instant, u32)>,
    /// First attempts.
    requests: RequestHistory,
    retries: SlidingWindow<RetryCounts>,
    /// Times at which the current series of requested retries began and was last continued.
    series: Option<(Instant, Instant)>,
}

/// `RetryCounts` counts the retries of one bucket of the window.
#[derive(Debug)]
struct RetryCounts {
    /// Retries that asked for admission, by rank.
    requested: [u32; RANK_COUNT],
    /// Retries that were let through, by rank.
    granted: [u32; RANK_COUNT],
    /// Retries that could not be refused.
    forced: u32,
    /// All retries that were let through, forced ones included.
    sent: u32,
}

impl Default for RetryCounts {
    fn default() -> Self {
        Self {
            requested: [0; RANK_COUNT],
            granted: [0; RANK_COUNT],
            forced: 0,
            sent: 0,
        }
    }
}

impl ArrivalBudget {
    /// Creates the budget of a process that has just started.
    #[must_use]
    pub fn new(now: Instant, quota: RetryQuota) -> Self {
        Self {
            quota,
            started: now,
            upstreams: VecDeque::new(),
            requests: RequestHistory::default(),
            retries: SlidingWindow::default(),
            series: None,
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
        self.requests.record(now, self.quota.window);
    }

    /// Counts a retry that is let through regardless of the budget: a call made by a retried
    /// request.
    pub fn record_retry(&mut self, now: Instant) {
        let bucket = self.current_bucket(now);
        bucket.forced += 1;
        bucket.sent += 1;
    }

    /// Spends one retry of the budget; `false` if none is left for this priority. Retries that
    /// higher ranks asked for within the window, or are expected to ask for soon, are reserved for
    /// them.
    pub fn spend(&mut self, now: Instant, priority: RetryPriority) -> bool {
        let rank = priority.rank();
        self.extend_series(now);
        self.current_bucket(now).requested[rank] += 1;
        let used = self.used_retries(now, rank);
        let planned = self.planned_retries(now, rank);
        let allowed = self.allowed_retries(now, Duration::ZERO);
        if used.max(planned) + 1.0 > allowed || !self.is_within_later_quotas(now) {
            return false;
        }
        let bucket = self.current_bucket(now);
        bucket.granted[rank] += 1;
        bucket.sent += 1;
        true
    }

    /// Returns whether one more retry is within the quota of the windows that end later, even if no
    /// request arrives until then.
    fn is_within_later_quotas(&self, now: Instant) -> bool {
        let window = self.quota.window;
        let mut checked = CHECKED_PARTS.iter().map(|part| window.mul_f64(*part));
        !self.quota.counts_earlier
            || checked.all(|ahead| {
                let used = self.sent_retries(now, window.saturating_sub(ahead));
                f64::from(used + 1) <= self.allowed_retries(now, ahead)
            })
    }

    /// Retries that were let through in the `span` that ends at `now`.
    fn sent_retries(&self, now: Instant, span: Duration) -> u32 {
        let buckets = self.retries.overlapping(now, span);
        buckets.map(|counts| counts.sent).sum()
    }

    /// Retries in the window that ends at `now`, those that ranks above `rank` asked for included.
    fn used_retries(&self, now: Instant, rank: usize) -> f64 {
        let window = self.quota.window;
        let buckets = self.retries.overlapping(now, window);
        let used = buckets.map(|counts| {
            let lower: u32 = counts.granted[..=rank].iter().sum();
            counts.forced + lower + counts.requested_above(rank)
        });
        f64::from(used.sum::<u32>())
    }

    /// Retries in a window that ends [`PLANNED_TIME`] after `now`, if ranks above `rank` go on
    /// asking at their current rate and no other retry is let through.
    fn planned_retries(&self, now: Instant, rank: usize) -> f64 {
        let planned_time = PLANNED_TIME.min(self.quota.window / 2);
        let span = self.quota.window.saturating_sub(planned_time);
        let used = self.sent_retries(now, span);
        f64::from(used) + self.request_rate_above(now, rank) * planned_time.as_secs_f64()
    }

    /// Rate at which ranks above `rank` ask for retries, per second.
    fn request_rate_above(&self, now: Instant, rank: usize) -> f64 {
        let Some((began, _)) = self.series else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(began);
        if elapsed < RATE_TIME_MIN {
            return 0.0;
        }
        let buckets = self.retries.within(now, RATE_TIME);
        let requested: u32 = buckets.map(|counts| counts.requested_above(rank)).sum();
        f64::from(requested) / elapsed.min(RATE_TIME).as_secs_f64()
    }

    /// Records that a retry was requested. A pause of [`RATE_TIME`] starts a new series.
    fn extend_series(&mut self, now: Instant) {
        let current = self.series.filter(|(_, last)| *last + RATE_TIME > now);
        let began = current.map_or(now, |(began, _)| began);
        self.series = Some((began, now));
    }

    /// Retries that are allowed in the window that ends `ahead` after `now`, by the requests so far.
    fn allowed_retries(&self, now: Instant, ahead: Duration) -> f64 {
        let RetryQuota {
            ratio,
            slack,
            window,
            ..
        } = self.quota;
        let requests = self.requests.counted(now, &self.quota, ahead);
        let uptime = now.saturating_duration_since(self.started);
        let slack_share =
            (uptime.as_secs_f64() / window.as_secs_f64()).clamp(STARTUP_SLACK_SHARE, 1.0);
        let slack = slack / f64::from(self.slack_sharers(now)) * slack_share;
        SPENDABLE_SHARE * (ratio * requests + slack)
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

    fn current_bucket(&mut self, now: Instant) -> &mut RetryCounts {
        self.retries.current(now, BUCKET_TIME, self.quota.window)
    }
}

impl RetryCounts {
    fn requested_above(&self, rank: usize) -> u32 {
        self.requested[rank + 1..].iter().sum()
    }
}
