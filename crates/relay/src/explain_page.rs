//! Explanation of where a request would go now, for operators. Nothing is sent, and no state changes.

use lagoonshore_coordination::placing::{
    ZoneReason, explanation::PlacingExplanation, urgency::RequestUrgency, zone_share::ZoneBalance,
};
use lagoonshore_state::{
    ids::{DocumentVersion, InstanceName, ServiceName, ZoneName},
    instance_table::InstanceTable,
    route_table::RouteEntry,
};
use serde::Serialize;

/// `ExplainPage` says where a first attempt of a new request would go.
#[derive(Debug, Serialize)]
pub struct ExplainPage {
    /// Version of the document in force.
    pub version: DocumentVersion,
    /// Route that matches the request.
    pub route: RouteEntry,
    /// Choice at each service among which the route's requests are split.
    pub services: Vec<ServiceChoice>,
}

/// `ServiceChoice` is the choice of an instance of one service.
#[derive(Debug, Serialize)]
pub struct ServiceChoice {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the service among those of the route.
    pub weight: u32,
    /// Urgency by which an instance is chosen.
    pub urgency: RequestUrgency,
    /// Why the request stays in the zone or leaves it, unless it belongs to the share that leaves.
    pub reason: ZoneReason,
    /// Share of the requests for the service that leaves the zone.
    pub zone_share: f64,
    /// Comparison of the zones.
    pub balance: ZoneBalance,
    /// Instances that may be chosen.
    pub candidates: Vec<CandidateScore>,
}

/// `CandidateScore` is the score of one instance.
#[derive(Debug, Serialize)]
pub struct CandidateScore {
    /// Name of the instance.
    pub name: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether it is healthy and in the zone to which the request goes.
    pub is_eligible: bool,
    /// Whether it takes calls, and its zone is not degraded.
    pub is_healthy: bool,
    /// Expected requests as a share of its limit.
    pub utilization: f64,
    /// Expected time until the response, in milliseconds.
    pub completion_ms: f64,
    /// Weight in a draw.
    pub weight: f64,
}

impl ServiceChoice {
    pub(crate) fn new(
        service: ServiceName,
        weight: u32,
        explanation: &PlacingExplanation,
        table: &InstanceTable,
    ) -> Self {
        let scores = explanation.candidates.iter().filter_map(|candidate| {
            let record = table.get(candidate.key)?;
            Some(CandidateScore {
                name: record.name.clone(),
                zone: record.zone.clone(),
                is_eligible: candidate.is_eligible,
                is_healthy: candidate.is_healthy,
                utilization: candidate.utilization,
                completion_ms: 1000.0 * candidate.completion_seconds,
                weight: candidate.weight,
            })
        });
        Self {
            service,
            weight,
            urgency: explanation.urgency,
            reason: explanation.reason,
            zone_share: explanation.zone_share,
            balance: explanation.balance,
            candidates: scores.collect(),
        }
    }
}
