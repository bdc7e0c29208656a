//! Explanation of a placement for operators.

use super::{
    ZoneReason, candidate_table::ScoredCandidate, completion::InstanceLoad,
    urgency::RequestUrgency, zone_share::ZoneBalance,
};

use lagoonshore_state::instance_table::InstanceKey;
use std::time::Duration;

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
    /// Whether it would be drawn for a request that does not belong to the share that leaves; true for all if
    /// none is healthy.
    pub is_eligible: bool,
    /// Whether it takes calls, and its zone is not degraded.
    pub is_healthy: bool,
    /// Whether it has reported its load lately; else the load is a guess.
    pub is_reported: bool,
    /// Expected load.
    pub load: InstanceLoad,
    /// Expected time until the response, in seconds.
    pub completion_seconds: f64,
    /// Weight in a draw: free capacity in requests per second, reduced by its condition.
    pub weight: f64,
}

/// `ExpectedAdmission` is what would happen to a request at an instance, as far as the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExpectedAdmission {
    /// The instance is not healthy, and others are.
    NotSent,
    /// It has not reported its load lately.
    Unknown,
    /// It would end after the time that is left, so that it may be refused.
    TooLate,
    /// It waits for a slot.
    Waits,
    /// It gets a slot at once.
    Runs,
}

impl CandidateExplanation {
    pub(super) fn new(candidate: &ScoredCandidate, is_eligible: bool) -> Self {
        Self {
            key: candidate.key,
            is_eligible,
            is_healthy: candidate.is_healthy,
            is_reported: candidate.is_reported(),
            load: candidate.load,
            completion_seconds: candidate.completion_seconds,
            weight: candidate.weight,
        }
    }

    /// Returns what the node beside the instance would probably do with a request that has `left` time.
    #[must_use]
    pub fn admission(&self, left: Duration) -> ExpectedAdmission {
        if !self.is_healthy && !self.is_eligible {
            ExpectedAdmission::NotSent
        } else if !self.is_reported {
            ExpectedAdmission::Unknown
        } else if self.completion_seconds > left.as_secs_f64() {
            ExpectedAdmission::TooLate
        } else if self.load.wait_seconds() > 0.0 {
            ExpectedAdmission::Waits
        } else {
            ExpectedAdmission::Runs
        }
    }
}
