//! Choice between candidates: zones in order, then the cheaper of two random ones
//! (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).

use super::{ejection::PeerCondition, peer_view::PeerView, slow_start};

use lagoonshore_state::instance_table::{InstanceKey, InstanceRecord, InstanceState};
use rand::{Rng, RngCore, seq::IndexedRandom};
use tokio::time::Instant;

/// Share of the limit in use from which an instance counts as full.
const FULL_UTILIZATION: f64 = 0.9;

/// `PeerCandidate` is an instance that may take a call.
#[derive(Clone, Copy, Debug)]
pub struct PeerCandidate<'a> {
    /// Key of the instance.
    pub key: InstanceKey,
    /// What the list says of it.
    pub record: &'a InstanceRecord,
    /// What the node knows of it.
    pub view: &'a PeerView,
}

impl PeerCandidate<'_> {
    /// Tells whether the instance takes calls: listed as live, and neither ejected nor being
    /// probed by another call.
    fn is_healthy(&self, now: Instant) -> bool {
        let is_trusted = match self.view.ejection.condition(now) {
            PeerCondition::Healthy => true,
            PeerCondition::Ejected => false,
            PeerCondition::Probing => self.view.in_progress == 0,
        };
        is_trusted && self.record.state == InstanceState::Live
    }

    /// Tells whether the instance is neither full nor a straggler, and fails few calls.
    fn has_room(&self, now: Instant) -> bool {
        let is_sound = !self.view.is_straggling(now) && !self.view.is_failing(now);
        is_sound && self.view.utilization(now) < FULL_UTILIZATION
    }

    fn is_near(&self, zone: &str) -> bool {
        self.record.zone == zone
    }
}

/// Chooses one of `listed`, none of which said that it is leaving. The list is a hint: with no
/// healthy instance left, any listed one is tried.
#[must_use]
pub fn choose(
    now: Instant,
    zone: &str,
    listed: Vec<PeerCandidate<'_>>,
    random: &mut dyn RngCore,
) -> Option<InstanceKey> {
    let healthy = keep(&listed, |candidate| candidate.is_healthy(now));
    let candidates = if healthy.is_empty() {
        listed
    } else {
        in_zone_order(now, zone, healthy)
    };
    cheaper_of_two(now, &candidates, random)
}

/// The own zone while it has room, then every instance of the region that has room. With none
/// left that has, calls stay in the own zone if it has an instance.
fn in_zone_order<'a>(
    now: Instant,
    zone: &str,
    healthy: Vec<PeerCandidate<'a>>,
) -> Vec<PeerCandidate<'a>> {
    let near = keep(&healthy, |candidate| candidate.is_near(zone));
    let near_with_room = keep(&near, |candidate| candidate.has_room(now));
    if !near_with_room.is_empty() {
        return near_with_room;
    }
    let with_room = keep(&healthy, |candidate| candidate.has_room(now));
    if !with_room.is_empty() {
        return with_room;
    }
    if near.is_empty() { healthy } else { near }
}

fn keep<'a>(
    candidates: &[PeerCandidate<'a>],
    rule: impl Fn(&PeerCandidate<'a>) -> bool,
) -> Vec<PeerCandidate<'a>> {
    let kept = candidates.iter().filter(|candidate| rule(candidate));
    kept.copied().collect()
}

fn cheaper_of_two(
    now: Instant,
    candidates: &[PeerCandidate<'_>],
    random: &mut dyn RngCore,
) -> Option<InstanceKey> {
    let warm = warmed(now, candidates, random);
    let cost = |candidate: &&PeerCandidate<'_>| candidate.view.cost(now);
    let pair = warm.choose_multiple(random, 2);
    pair.min_by(|left, right| cost(left).total_cmp(&cost(right)))
        .map(|candidate| candidate.key)
}

/// Leaves out each candidate that warms up with the probability that its share asks for,
/// relative to the warmest one.
fn warmed<'a>(
    now: Instant,
    candidates: &[PeerCandidate<'a>],
    random: &mut dyn RngCore,
) -> Vec<PeerCandidate<'a>> {
    let share =
        |candidate: &PeerCandidate<'_>| slow_start::share(now, candidate.view.warming_since);
    let warmest = candidates.iter().map(share).fold(0.0, f64::max);
    let mut kept = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        let relative = share(candidate) / warmest;
        if relative >= 1.0 || random.random_bool(relative) {
            kept.push(*candidate);
        }
    }
    kept
}
