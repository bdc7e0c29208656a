//! What a node knows of one peer: its own observations, and the load that the peer reports.

use super::ejection::EjectionState;

use lagoonshore_state::data_type;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Weight of a sample below the moving average of slowness, and of every smoothed sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Time in which an unused sample of slowness loses half of its weight.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(1);
/// Least time that counts as typical of a route; below it, differences are noise.
const TYPICAL_FLOOR: Duration = Duration::from_millis(2);
/// Slowness from which a peer is a straggler.
pub const STRAGGLER_SLOWNESS: f64 = 3.0;
/// Time in which a reported load loses half of its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Time for which an overload refusal marks a peer as full.
const OVERLOAD_MEMORY: Duration = Duration::from_millis(200);
/// Weight of one call in the moving share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time in which the share of failures loses half of its weight, so that a peer is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Share of failures from which other peers go first.
const FAILING_SHARE: f64 = 0.25;
/// Time for which a notice that the peer is leaving holds.
const DRAINING_MEMORY: Duration = Duration::from_secs(10);

data_type! {
    /// `ReportedLoad` is the load that a peer put into one of its replies.
    #[derive(Copy, Default)]
    pub struct ReportedLoad {
        /// Requests in progress there, from all nodes.
        pub in_progress: u32,
        /// Limit on requests in progress there.
        pub limit: u32,
        /// Requests that wait there.
        pub queued: u32,
        /// Whether the peer is leaving.
        pub draining: bool,
    }
}

/// `PeerView` is what a node has seen of an instance for itself, and what the instance reported.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Address that the observations belong to.
    pub address: SocketAddr,
    /// Calls in progress from this node.
    pub in_progress: u32,
    /// Answers seen.
    pub answers: u32,
    /// Ejection and probing.
    pub ejection: EjectionState,
    /// Time from which the peer takes a rising share of calls.
    pub warming_since: Instant,
    is_straggler: bool,
    slowness: f64,
    smooth_slowness: f64,
    sampled_at: Instant,
    report: Option<(Instant, ReportedLoad)>,
    overloaded_at: Option<Instant>,
    failure_share: f64,
    failure_at: Instant,
    draining_at: Option<Instant>,
    leaving: bool,
}

impl PeerView {
    /// Creates the view of a peer that is seen for the first time.
    #[must_use]
    pub fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            in_progress: 0,
            answers: 0,
            ejection: EjectionState::default(),
            warming_since: now,
            is_straggler: false,
            slowness: 1.0,
            smooth_slowness: 1.0,
            sampled_at: now,
            report: None,
            overloaded_at: None,
            failure_share: 0.0,
            failure_at: now,
            draining_at: None,
            leaving: false,
        }
    }

    /// Adds the time to an answer, in multiples of what is typical of its route. A longer one
    /// counts in full at once, a shorter one by weight, as in the peak-sensitive moving average
    /// of Finagle.
    pub fn sample(&mut self, now: Instant, latency: Duration, typical: Duration) {
        let sample = slowness(latency, typical);
        let known = self.slowness(now);
        let weight = if sample > known { 1.0 } else { SAMPLE_WEIGHT };
        self.slowness = known + weight * (sample - known);
        self.smooth_slowness += SAMPLE_WEIGHT * (sample - self.smooth_slowness);
        self.is_straggler = sample >= STRAGGLER_SLOWNESS;
        self.sampled_at = now;
    }

    /// Adds the time for which a call has waited without an answer: its latency is at least that.
    pub fn sample_at_least(&mut self, now: Instant, elapsed: Duration, typical: Duration) {
        let sample = slowness(elapsed, typical);
        if sample > self.slowness(now) {
            self.slowness = sample;
            self.is_straggler |= sample >= STRAGGLER_SLOWNESS;
            self.sampled_at = now;
        }
    }

    /// Recent latency in multiples of what is typical of the routes. It falls back to 1 while
    /// nothing is answered, so that a peer that was slow is tried again.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        1.0 + (self.slowness - 1.0) * aged(now, self.sampled_at, SLOWNESS_HALF_LIFE)
    }

    /// Moving average of slowness over the last answers, whatever their age.
    #[must_use]
    pub const fn smooth_slowness(&self) -> f64 {
        self.smooth_slowness
    }

    /// Tells whether the last sample was far above what is typical. Once its weight has fallen,
    /// one call at a time finds out how the peer is.
    #[must_use]
    pub fn is_straggling(&self, now: Instant) -> bool {
        let is_probe_due = self.slowness(now) < STRAGGLER_SLOWNESS && self.in_progress == 0;
        self.is_straggler && !is_probe_due
    }

    /// Tells whether the last sample was far above what is typical, whatever its age.
    #[must_use]
    pub const fn was_slow(&self) -> bool {
        self.is_straggler
    }

    /// Takes the load that the peer reported.
    pub fn take_report(&mut self, now: Instant, report: ReportedLoad) {
        self.report = Some((now, report));
        self.draining_at = report.draining.then_some(now);
    }

    /// Notes whether a call failed. A peer that fails a part of its calls never fails enough of
    /// them in a row to be ejected.
    pub fn note_end(&mut self, now: Instant, has_failed: bool) {
        let sample = f64::from(u8::from(has_failed));
        let known = self.failure_share(now);
        self.failure_share = known + FAILURE_WEIGHT * (sample - known);
        self.failure_at = now;
    }

    /// Share of the calls that failed lately.
    #[must_use]
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failure_share * aged(now, self.failure_at, FAILURE_HALF_LIFE)
    }

    /// Tells whether so many calls fail that other peers go first.
    #[must_use]
    pub fn is_failing(&self, now: Instant) -> bool {
        self.failure_share(now) >= FAILING_SHARE
    }

    /// Notes a refusal for overload.
    pub const fn note_overload(&mut self, now: Instant) {
        self.overloaded_at = Some(now);
    }

    /// Notes whether the instance has given notice that it leaves; taking the notice back also
    /// ends what its replies said of a drain.
    pub const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        if !leaving {
            self.draining_at = None;
        }
    }

    /// Tells whether the peer said lately that it is leaving.
    #[must_use]
    pub fn is_draining(&self, now: Instant) -> bool {
        self.leaving || is_recent(now, self.draining_at, DRAINING_MEMORY)
    }

    /// Share of the peer's limit that is in use: the reported one, falling with its age. A peer
    /// that has just refused for overload is full.
    #[must_use]
    pub fn utilization(&self, now: Instant) -> f64 {
        if is_recent(now, self.overloaded_at, OVERLOAD_MEMORY) {
            return 1.0;
        }
        let limit = self.report.map_or(0, |(_, report)| report.limit);
        if limit == 0 {
            return 0.0;
        }
        self.requests(now) / f64::from(limit)
    }

    /// Cost of one more call: requests in progress times slowness.
    #[must_use]
    pub fn cost(&self, now: Instant) -> f64 {
        (self.requests(now) + 1.0) * self.slowness(now)
    }

    /// Requests at the peer: the own ones in progress, or more where an aged report says so.
    fn requests(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_progress);
        let reported = self.report.map_or(0.0, |(at, report)| {
            let requests = f64::from(report.in_progress) + f64::from(report.queued);
            requests * aged(now, at, REPORT_HALF_LIFE)
        });
        own.max(reported)
    }
}

fn slowness(latency: Duration, typical: Duration) -> f64 {
    latency.as_secs_f64() / typical.max(TYPICAL_FLOOR).as_secs_f64()
}

/// Weight that is left of what was seen at `then`.
fn aged(now: Instant, then: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(then);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

fn is_recent(now: Instant, then: Option<Instant>, memory: Duration) -> bool {
    then.is_some_and(|then| now.saturating_duration_since(then) < memory)
}
