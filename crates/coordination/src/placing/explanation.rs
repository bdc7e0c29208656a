//! Explanation of a placement for operators.

use super::{
    ZoneReason, candidate_table::ScoredCandidate, urgency::RequestUrgency, zone_share::ZoneBalance,
};

use lagoonshore_state::instance_table::InstanceKey;

/// `PlacingExplanation` says how an instance would be chosen for a request.
#[derive(Clone, Debug)]
pub struct PlacingExplanation {
    /// Urgency by which it would be chosen among those that are drawn.
    pub urgency: RequestUrgency,
    /// Why the request would stay in the zone or leave it, unless it belongs to the share that leaves.
    pub reason: ZoneReason,
    /// Share of the requests for the service that leaves the zone.
    pub zone_share: f64,
    /// Comparison of the zones.
    pub balance: ZoneBalance,
    /// Instances that may be chosen, by name.
    pub candidates: Vec<CandidateExplanation>,
}

/// `CandidateExplanation` is the score of one instance.
#[derive(Clone, Copy, Debug)]
pub struct CandidateExplanation {
    /// Key of the instance.
    pub key: InstanceKey,
    /// Whether it would be drawn for a request that does not belong to the share that leaves.
    pub is_eligible: bool,
    /// Whether it takes calls, and its zone is not degraded.
    pub is_healthy: bool,
    /// Expected requests as a share of its limit.
    pub utilization: f64,
    /// Expected time until the response, in seconds.
    pub completion_seconds: f64,
    /// Weight in a draw: free capacity in requests per second, reduced by its condition.
    pub weight: f64,
}

impl CandidateExplanation {
    pub(super) fn new(candidate: &ScoredCandidate, is_eligible: bool) -> Self {
        Self {
            key: candidate.key,
            is_eligible,
            is_healthy: candidate.is_healthy,
            utilization: candidate.load.utilization(),
            completion_seconds: candidate.completion_seconds,
            weight: candidate.weight,
        }
    }
}
