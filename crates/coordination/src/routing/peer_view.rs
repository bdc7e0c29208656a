//! What a node knows of one peer: the node's own observations and the load that the peer reports.

use super::ejection::EjectionState;

use crate::{
    age_weights::{age_share, decay_factor},
    moving_average::MovingAverage,
};

use lagoonshore_state::data_type;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Weight of a sample below the peak-sensitive average of slowness, and of each sample in the
/// smoothed average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Half-life of the slowness of a peer without new samples.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(1);
/// Lower bound of a route's typical latency; differences below it are noise.
const TYPICAL_LATENCY_MIN: Duration = Duration::from_millis(2);
/// Slowness from which a peer counts as a straggler.
pub const STRAGGLER_SLOWNESS: f64 = 3.0;
/// Half-life of a reported load.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Time constant of the mean of reported loads.
const MEAN_LOAD_TIME: Duration = Duration::from_secs(2);
/// Least weight of a report in that mean.
const REPORT_WEIGHT_MIN: f64 = 0.05;
/// Age at which a report says no more than that mean.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Age of the last report at which the load of a peer counts as unknown.
const LOAD_TTL: Duration = Duration::from_secs(5);
/// Time for which a peer counts as full after it refused a call for overload.
const OVERLOAD_HOLD_TIME: Duration = Duration::from_millis(200);
/// Weight of one call in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 0.15;
/// Half-life of the failure share of a peer without calls, so that it is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Failure share from which other peers are preferred.
const FAILING_SHARE: f64 = 0.25;
/// Time for which a reply that announces a drain stays in effect.
const DRAINING_HOLD_TIME: Duration = Duration::from_secs(10);

data_type! {
    /// `ReportedLoad` is the load that a peer reported with a reply.
    #[derive(Copy, Default)]
    pub struct ReportedLoad {
        /// Requests in progress at the peer, from all nodes.
        pub in_progress: u32,
        /// Limit on requests in progress at the peer.
        pub limit: u32,
        /// Requests queued at the peer.
        pub queued: u32,
        /// Whether the peer is draining.
        pub draining: bool,
    }
}

impl ReportedLoad {
    /// Returns the requests at the peer, running and queued.
    #[must_use]
    pub fn requests(&self) -> f64 {
        f64::from(self.in_progress) + f64::from(self.queued)
    }
}

/// `LoadEstimate` is the load of a peer by its last report and the calls of this node since then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Requests at the peer, running and queued.
    pub requests: f64,
    /// Limit on requests in progress at the peer.
    pub limit: f64,
}

/// `PeerView` holds what a node has observed of an instance, and the load that the instance
/// reported.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Peer address that the observations apply to.
    pub address: SocketAddr,
    /// Calls in progress from this node.
    pub in_progress: u32,
    /// Number of responses received.
    pub responses: u32,
    /// Ejection state.
    pub ejection: EjectionState,
    /// Start of the current slow start.
    pub warming_since: Instant,
    is_straggler: bool,
    slowness: f64,
    smooth_slowness: MovingAverage,
    sampled_at: Instant,
    report: Option<(Instant, ReportedLoad)>,
    /// Calls in progress from this node at the time of the report.
    reported_own: u32,
    /// Mean of the reported requests over the last seconds.
    mean_requests: MovingAverage,
    overloaded_at: Option<Instant>,
    failure_share: f64,
    failure_at: Instant,
    draining_at: Option<Instant>,
    leaving: bool,
}

impl PeerView {
    /// Creates the view of a newly discovered peer.
    #[must_use]
    pub fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            in_progress: 0,
            responses: 0,
            ejection: EjectionState::default(),
            warming_since: now,
            is_straggler: false,
            slowness: 1.0,
            smooth_slowness: MovingAverage::new(1.0),
            sampled_at: now,
            report: None,
            reported_own: 0,
            mean_requests: MovingAverage::new(0.0),
            overloaded_at: None,
            failure_share: 0.0,
            failure_at: now,
            draining_at: None,
            leaving: false,
        }
    }

    /// Records the latency of a response as a multiple of the route's typical latency. A sample
    /// above the average replaces it at once, one below it counts by its weight, as in the
    /// peak-sensitive moving average of Finagle.
    pub fn record_latency(&mut self, now: Instant, latency: Duration, typical: Duration) {
        let sample = relative_latency(latency, typical);
        let current = self.slowness(now);
        let weight = if sample > current { 1.0 } else { SAMPLE_WEIGHT };
        self.slowness = current + weight * (sample - current);
        self.smooth_slowness.record(sample, SAMPLE_WEIGHT);
        self.is_straggler = sample >= STRAGGLER_SLOWNESS;
        self.sampled_at = now;
    }

    /// Records a lower bound of a latency: the time for which a call has waited without a response.
    pub fn record_min_latency(&mut self, now: Instant, elapsed: Duration, typical: Duration) {
        let sample = relative_latency(elapsed, typical);
        if sample > self.slowness(now) {
            self.slowness = sample;
            self.is_straggler |= sample >= STRAGGLER_SLOWNESS;
            self.sampled_at = now;
        }
    }

    /// Returns the recent latency as a multiple of the routes' typical latency. It decays to 1
    /// while there are no responses, so that a peer that was slow is tried again.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        1.0 + (self.slowness - 1.0) * decay_factor(now, self.sampled_at, SLOWNESS_HALF_LIFE)
    }

    /// Returns the moving average of slowness over the last responses, regardless of their age.
    #[must_use]
    pub const fn smooth_slowness(&self) -> f64 {
        self.smooth_slowness.mean()
    }

    /// Returns `true` if the last sample was far above the typical latency. Once the recorded
    /// slowness has decayed, the peer is probed with one call at a time.
    #[must_use]
    pub fn is_straggling(&self, now: Instant) -> bool {
        let is_probe_due = || self.in_progress == 0 && self.slowness(now) < STRAGGLER_SLOWNESS;
        self.is_straggler && !is_probe_due()
    }

    /// Returns `true` if the last sample was far above the typical latency, regardless of its age.
    #[must_use]
    pub const fn was_slow(&self) -> bool {
        self.is_straggler
    }

    /// Records the load that the peer reported.
    pub fn record_load(&mut self, now: Instant, report: ReportedLoad) {
        let requests = report.requests();
        let weight = match self.report {
            None => 1.0,
            Some((at, _)) => age_share(now, at, MEAN_LOAD_TIME).max(REPORT_WEIGHT_MIN),
        };
        self.mean_requests.record(requests, weight);
        self.report = Some((now, report));
        self.reported_own = self.in_progress;
        self.draining_at = report.draining.then_some(now);
    }

    /// Records whether a call failed. The share of failures is tracked because a peer that fails
    /// only part of its calls may never reach enough consecutive failures to be ejected.
    pub fn record_outcome(&mut self, now: Instant, has_failed: bool) {
        let sample = f64::from(u8::from(has_failed));
        let current = self.failure_share(now);
        self.failure_share = current + FAILURE_WEIGHT * (sample - current);
        self.failure_at = now;
    }

    /// Returns the share of recent calls that failed, from 0 to 1.
    #[must_use]
    pub fn failure_share(&self, now: Instant) -> f64 {
        if self.failure_share <= 0.0 {
            return 0.0;
        }
        self.failure_share * decay_factor(now, self.failure_at, FAILURE_HALF_LIFE)
    }

    /// Returns `true` if the failure share is so high that other peers are preferred.
    #[must_use]
    pub fn is_failing(&self, now: Instant) -> bool {
        self.failure_share(now) >= FAILING_SHARE
    }

    /// Records a refusal for overload.
    pub const fn record_overload(&mut self, now: Instant) {
        self.overloaded_at = Some(now);
    }

    /// Sets whether the instance has announced that it is leaving. Withdrawing the announcement
    /// also clears the drain state taken from replies.
    pub const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        if !leaving {
            self.draining_at = None;
        }
    }

    /// Returns `true` if the peer has announced that it is leaving, or a recent reply said so.
    #[must_use]
    pub fn is_draining(&self, now: Instant) -> bool {
        self.leaving || is_recent(now, self.draining_at, DRAINING_HOLD_TIME)
    }

    /// Returns the share of the peer's limit that is in use, estimated from the last report with
    /// decay. A peer that has just refused a call for overload counts as full.
    #[must_use]
    pub fn utilization(&self, now: Instant) -> f64 {
        if self.is_overloaded(now) {
            return 1.0;
        }
        let limit = self.report.map_or(0, |(_, report)| report.limit);
        if limit == 0 {
            return 0.0;
        }
        self.requests(now) / f64::from(limit)
    }

    /// Returns `true` if the peer refused a call for overload a moment ago.
    #[must_use]
    pub fn is_overloaded(&self, now: Instant) -> bool {
        is_recent(now, self.overloaded_at, OVERLOAD_HOLD_TIME)
    }

    /// Returns the load of the peer by its last report, which fades to the mean of the reports as it
    /// ages; `None` if there is no recent one.
    #[must_use]
    pub fn load_estimate(&self, now: Instant) -> Option<LoadEstimate> {
        let (at, report) = self.report?;
        if !is_recent(now, Some(at), LOAD_TTL) {
            return None;
        }
        let own = f64::from(self.in_progress);
        let freshness = 1.0 - age_share(now, at, REPORT_TTL);
        let mean_requests = self.mean_requests.mean();
        let reported = mean_requests + freshness * (report.requests() - mean_requests);
        let started_since = own - f64::from(self.reported_own);
        Some(LoadEstimate {
            requests: (reported + started_since).max(own),
            limit: f64::from(report.limit.max(1)),
        })
    }

    /// Returns the cost of one more call: requests at the peer, including this call, times
    /// slowness.
    #[must_use]
    pub fn cost(&self, now: Instant) -> f64 {
        (self.requests(now) + 1.0) * self.slowness(now)
    }

    /// Returns the estimated number of requests at the peer: this node's calls in progress, or the
    /// decayed report if that is larger.
    fn requests(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_progress);
        let reported = self.report.map_or(0.0, |(at, report)| {
            report.requests() * decay_factor(now, at, REPORT_HALF_LIFE)
        });
        own.max(reported)
    }
}

fn relative_latency(latency: Duration, typical: Duration) -> f64 {
    latency.as_secs_f64() / typical.max(TYPICAL_LATENCY_MIN).as_secs_f64()
}

fn is_recent(now: Instant, then: Option<Instant>, hold_time: Duration) -> bool {
    then.is_some_and(|then| now.saturating_duration_since(then) < hold_time)
}
