//! Chooses among candidates: by availability zone first, then the cheaper of two random ones
//! (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).

use super::{ejection::PeerCondition, peer_view::PeerView, slow_start};

use lagoonshore_state::instance_table::{InstanceKey, InstanceRecord, InstanceState};
use rand::{Rng, RngCore, seq::IndexedRandom};
use tokio::time::Instant;

/// Utilization of the limit from which an instance counts as full.
const FULL_UTILIZATION: f64 = 0.9;

/// `PeerCandidate` is an instance that a call may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct PeerCandidate<'a> {
    /// Key of the instance.
    pub key: InstanceKey,
    /// Record of the instance list.
    pub record: &'a InstanceRecord,
    /// Observations of this node.
    pub view: &'a PeerView,
}

impl PeerCandidate<'_> {
    /// Returns `true` if the instance takes calls: it is listed as live, is not ejected, and is not
    /// being probed by another call.
    #[must_use]
    pub fn is_healthy(&self, now: Instant) -> bool {
        let is_available = match self.view.ejection.condition(now) {
            PeerCondition::Healthy => true,
            PeerCondition::Ejected => false,
            PeerCondition::Probing => self.view.in_progress == 0,
        };
        is_available && self.record.state == InstanceState::Live
    }

    /// Returns `true` if the instance is neither full nor a straggler and its failure rate is low.
    fn has_capacity(&self, now: Instant) -> bool {
        self.is_performing(now) && self.view.utilization(now) < FULL_UTILIZATION
    }

    /// Returns `true` if the instance is no straggler and its failure rate is low.
    #[must_use]
    pub fn is_performing(&self, now: Instant) -> bool {
        !self.view.is_straggling(now) && !self.view.is_failing(now)
    }

    /// Returns `true` if the instance is in `zone`.
    #[must_use]
    pub fn is_in_zone(&self, zone: &str) -> bool {
        self.record.zone == zone
    }
}

/// Chooses one of `listed`, which must not contain draining instances. The instance list is only a
/// hint: if no candidate is healthy, any of them is tried.
#[must_use]
pub fn choose(
    now: Instant,
    zone: &str,
    listed: Vec<PeerCandidate<'_>>,
    random: &mut dyn RngCore,
) -> Option<InstanceKey> {
    let healthy = filter_candidates(&listed, |candidate| candidate.is_healthy(now));
    let candidates = if healthy.is_empty() {
        listed
    } else {
        prefer_own_zone(now, zone, healthy)
    };
    choose_cheaper_of_two(now, &candidates, random)
}

/// Returns the instances of the local zone that have capacity, or else those of the whole region.
/// If none has capacity, calls stay in the local zone as long as it has an instance.
fn prefer_own_zone<'a>(
    now: Instant,
    zone: &str,
    healthy: Vec<PeerCandidate<'a>>,
) -> Vec<PeerCandidate<'a>> {
    let local = filter_candidates(&healthy, |candidate| candidate.is_in_zone(zone));
    let local_with_capacity = filter_candidates(&local, |candidate| candidate.has_capacity(now));
    if !local_with_capacity.is_empty() {
        return local_with_capacity;
    }
    let with_capacity = filter_candidates(&healthy, |candidate| candidate.has_capacity(now));
    if !with_capacity.is_empty() {
        return with_capacity;
    }
    if local.is_empty() { healthy } else { local }
}

fn filter_candidates<'a>(
    candidates: &[PeerCandidate<'a>],
    predicate: impl Fn(&PeerCandidate<'a>) -> bool,
) -> Vec<PeerCandidate<'a>> {
    let kept = candidates.iter().filter(|candidate| predicate(candidate));
    kept.copied().collect()
}

fn choose_cheaper_of_two(
    now: Instant,
    candidates: &[PeerCandidate<'_>],
    random: &mut dyn RngCore,
) -> Option<InstanceKey> {
    let sampled = sample_warming(now, candidates, random);
    let cost = |candidate: &&PeerCandidate<'_>| candidate.view.cost(now);
    let pair = sampled.choose_multiple(random, 2);
    pair.min_by(|left, right| cost(left).total_cmp(&cost(right)))
        .map(|candidate| candidate.key)
}

/// Drops each warming candidate with a probability that follows from its slow-start share, relative
/// to the largest share among the candidates.
fn sample_warming<'a>(
    now: Instant,
    candidates: &[PeerCandidate<'a>],
    random: &mut dyn RngCore,
) -> Vec<PeerCandidate<'a>> {
    let share =
        |candidate: &PeerCandidate<'_>| slow_start::share(now, candidate.view.warming_since);
    let share_max = candidates.iter().map(share).fold(0.0, f64::max);
    let mut kept = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        let relative = share(candidate) / share_max;
        if relative >= 1.0 || random.random_bool(relative) {
            kept.push(*candidate);
        }
    }
    kept
}
