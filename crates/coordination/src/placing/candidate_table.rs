//! Scores of the instances that a request may be sent to.

use super::{
    completion::InstanceLoad,
    zone_share::{OTHER_LOAD_MAX, ZoneBalance},
};

use crate::routing::{candidate_choice::PeerCandidate, peer_view::LoadEstimate, slow_start};

use lagoonshore_state::instance_table::InstanceKey;
use rand::{Rng, RngCore};
use tokio::time::Instant;

/// Weight of an instance that straggles, fails calls or has just refused one.
const IMPAIRED_WEIGHT: f64 = 0.02;
/// Time of a run that is assumed while no instance has reported one, in seconds.
const WORK_SECONDS_DEFAULT: f64 = 0.05;
/// Limit that is assumed while no instance has reported one.
const LIMIT_DEFAULT: f64 = 8.0;

/// `ScoredCandidate` is an instance with what is expected of it. What it has not reported is taken
/// from the mean of the others; but an instance of the own zone without a recent report counts as
/// idle, and so does another zone of which nothing is known, so that they are tried.
#[derive(Clone, Copy, Debug)]
pub struct ScoredCandidate {
    /// Key of the instance.
    pub key: InstanceKey,
    /// Whether it is in the zone of the sender.
    pub is_own_zone: bool,
    /// Whether it takes calls, and its zone is not degraded.
    pub is_healthy: bool,
    /// Load by its reports.
    reported: Option<LoadEstimate>,
    /// Weight by its condition: below 1 during slow start and while it is impaired.
    condition_weight: f64,
    /// Time of a run, in seconds.
    pub work_seconds: Option<f64>,
    /// Mean time for which a request holds a slot, in seconds.
    pub hold_seconds: Option<f64>,
    /// Delay of the link to its zone, in seconds.
    pub link_seconds: f64,
    /// Expected load.
    pub load: InstanceLoad,
    /// Expected time until the response, in seconds.
    pub completion_seconds: f64,
    /// Weight in a draw.
    pub weight: f64,
}

impl ScoredCandidate {
    /// Creates the candidate with what the sender has observed; its times are still unknown.
    #[must_use]
    pub fn new(now: Instant, candidate: &PeerCandidate<'_>, is_own_zone: bool) -> Self {
        let view = candidate.view;
        let is_impaired = view.is_overloaded(now) || !candidate.is_performing(now);
        let impairment = if is_impaired { IMPAIRED_WEIGHT } else { 1.0 };
        Self {
            key: candidate.key,
            is_own_zone,
            is_healthy: candidate.is_healthy(now),
            reported: view.load_estimate(now),
            condition_weight: slow_start::share(now, view.warming_since) * impairment,
            work_seconds: None,
            hold_seconds: None,
            link_seconds: 0.0,
            load: InstanceLoad::default(),
            completion_seconds: 0.0,
            weight: 0.0,
        }
    }

    /// Returns whether the instance has reported its load lately.
    #[must_use]
    pub const fn is_reported(&self) -> bool {
        self.reported.is_some()
    }

    fn score(&mut self, means: &CandidateMeans) {
        let work_seconds = self.work_seconds.unwrap_or(means.work_seconds);
        let reported = self.reported.unwrap_or(LoadEstimate {
            requests: if self.is_own_zone {
                0.0
            } else {
                means.other_requests
            },
            limit: means.limit,
        });
        self.load = InstanceLoad {
            requests: reported.requests,
            limit: reported.limit,
            hold_seconds: self.hold_seconds.unwrap_or(work_seconds),
        };
        self.completion_seconds = self.load.completion_seconds(work_seconds) + self.link_seconds;
        let utilization_max = if self.is_own_zone {
            1.0
        } else {
            OTHER_LOAD_MAX
        };
        let capacity = self.load.free_capacity(work_seconds, utilization_max);
        self.weight = capacity * self.condition_weight;
    }
}

/// Means over the candidates that have reported.
#[derive(Clone, Copy, Debug)]
struct CandidateMeans {
    work_seconds: f64,
    limit: f64,
    other_requests: f64,
}

/// `MeanSum` collects values for their mean.
#[derive(Clone, Copy, Debug, Default)]
struct MeanSum {
    sum: f64,
    count: f64,
}

impl MeanSum {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }

    fn mean(&self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

/// `CandidateTable` holds the candidates of one choice; its memory is used again for the next.
#[derive(Debug, Default)]
pub struct CandidateTable {
    candidates: Vec<ScoredCandidate>,
    /// Sums of the weights up to each drawable candidate, with its index.
    drawable: Vec<(f64, usize)>,
    mean_work_seconds: f64,
}

impl CandidateTable {
    /// Removes all candidates.
    pub fn clear(&mut self) {
        self.candidates.clear();
    }

    /// Adds a candidate.
    pub fn push(&mut self, candidate: ScoredCandidate) {
        self.candidates.push(candidate);
    }

    /// Returns the candidates.
    #[must_use]
    pub fn candidates(&self) -> &[ScoredCandidate] {
        &self.candidates
    }

    /// Returns the mean time of a run over the instances, in seconds.
    #[must_use]
    pub const fn mean_work_seconds(&self) -> f64 {
        self.mean_work_seconds
    }

    /// Computes the scores of all candidates.
    pub fn score(&mut self) {
        let means = self.means();
        self.mean_work_seconds = means.work_seconds;
        for candidate in &mut self.candidates {
            candidate.score(&means);
        }
    }

    fn means(&self) -> CandidateMeans {
        let mut works = MeanSum::default();
        let mut limits = MeanSum::default();
        let mut other_requests = MeanSum::default();
        for candidate in &self.candidates {
            if let Some(work_seconds) = candidate.work_seconds {
                works.add(work_seconds);
            }
            if let Some(reported) = candidate.reported {
                limits.add(reported.limit);
                if !candidate.is_own_zone {
                    other_requests.add(reported.requests);
                }
            }
        }
        CandidateMeans {
            work_seconds: works.mean().unwrap_or(WORK_SECONDS_DEFAULT),
            limit: limits.mean().unwrap_or(LIMIT_DEFAULT),
            other_requests: other_requests.mean().unwrap_or_default(),
        }
    }

    /// Returns whether any candidate is healthy.
    #[must_use]
    pub fn has_healthy(&self) -> bool {
        self.healthy().next().is_some()
    }

    /// Returns whether any candidate in the zone of the sender is healthy.
    #[must_use]
    pub fn has_healthy_in_zone(&self) -> bool {
        self.healthy().any(|candidate| candidate.is_own_zone)
    }

    /// Returns whether a healthy candidate in the zone of the sender has a free slot.
    #[must_use]
    pub fn has_free_slot_in_zone(&self) -> bool {
        self.healthy()
            .any(|candidate| candidate.is_own_zone && candidate.load.utilization() < 1.0)
    }

    fn healthy(&self) -> impl Iterator<Item = &ScoredCandidate> {
        let candidates = self.candidates.iter();
        candidates.filter(|candidate| candidate.is_healthy)
    }

    /// Compares the zone of the sender with the others.
    #[must_use]
    pub fn balance(&self) -> ZoneBalance {
        let (mut own, mut other) = (ZoneTotals::default(), ZoneTotals::default());
        for candidate in self.healthy() {
            let totals = if candidate.is_own_zone {
                &mut own
            } else {
                &mut other
            };
            totals.add(candidate);
        }
        ZoneBalance {
            own_load: own.load().unwrap_or(1.0),
            other_load: other.load(),
            own_seconds: own.mean_seconds(),
            other_seconds: other.mean_seconds(),
        }
    }

    /// Makes the candidates that are eligible drawable; returns whether there are any.
    pub fn prepare_draws(&mut self, is_eligible: impl Fn(&ScoredCandidate) -> bool) -> bool {
        self.drawable.clear();
        let mut sum = 0.0;
        for (index, candidate) in self.candidates.iter().enumerate() {
            if is_eligible(candidate) {
                sum += candidate.weight;
                self.drawable.push((sum, index));
            }
        }
        !self.drawable.is_empty()
    }

    /// Draws one of the drawable candidates, by their weights; `None` if there is none.
    pub fn draw(&self, random: &mut dyn RngCore) -> Option<&ScoredCandidate> {
        let (sum, _) = self.drawable.last()?;
        let point = random.random::<f64>() * sum;
        let position = self.drawable.partition_point(|(sum, _)| *sum <= point);
        let (_, index) = self.drawable.get(position).or(self.drawable.last())?;
        self.candidates.get(*index)
    }
}

/// Sums over the healthy candidates of the own zone, or of the others.
#[derive(Debug, Default)]
struct ZoneTotals {
    requests: f64,
    limit: f64,
    weight: f64,
    weighted_seconds: f64,
}

impl ZoneTotals {
    fn add(&mut self, candidate: &ScoredCandidate) {
        // A long queue at one instance does not mean that the others are full.
        self.requests += candidate.load.requests.min(candidate.load.limit);
        self.limit += candidate.load.limit;
        self.weight += candidate.weight;
        self.weighted_seconds += candidate.weight * candidate.completion_seconds;
    }

    /// Requests as a share of the limits; `None` without an instance.
    fn load(&self) -> Option<f64> {
        (self.limit > 0.0).then(|| self.requests / self.limit)
    }

    /// Mean expected completion over the instances, by their weights, in seconds.
    fn mean_seconds(&self) -> f64 {
        if self.weight > 0.0 {
            return self.weighted_seconds / self.weight;
        }
        0.0
    }
}
