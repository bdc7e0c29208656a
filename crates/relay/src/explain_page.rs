//! Explanation of where a request would go now, for operators. Nothing is sent, and no state changes.

use crate::account_page::CallerPart;

use lagoonshore_coordination::placing::{
    ZoneReason,
    explanation::{ExpectedAdmission, PlacingExplanation},
    urgency::RequestUrgency,
    zone_share::ZoneBalance,
};
use lagoonshore_state::{
    ids::{DocumentVersion, InstanceName, ServiceName, ZoneName},
    instance_table::InstanceTable,
    route_table::{RouteEntry, RouteTarget},
};
use serde::Serialize;
use std::time::Duration;

/// `ExplainPage` says where a first attempt of a new request would go.
#[derive(Debug, Serialize)]
pub struct ExplainPage {
    /// Version of the document in force.
    pub version: DocumentVersion,
    /// Route that matches the request.
    pub route: RouteEntry,
    /// What would happen to the request at this node; `None` in a fleet without accounts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller: Option<CallerPart>,
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
    /// Whether it is healthy and in the zone to which the request goes; true for all if none is healthy.
    pub is_eligible: bool,
    /// Whether it takes calls, and its zone is not degraded.
    pub is_healthy: bool,
    /// Expected requests as a share of its limit.
    pub utilization: f64,
    /// Expected requests, running and waiting.
    pub requests: f64,
    /// Requests that it runs at the same time.
    pub limit: f64,
    /// Slots that are expected to be free.
    pub free_slots: f64,
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: f64,
    /// Whether its load was reported lately; else it is a guess.
    pub is_reported: bool,
    /// What would happen to the request there, by that load.
    pub admission: ExpectedAdmission,
    /// Expected time until the response, in milliseconds.
    pub completion_ms: f64,
    /// Weight in a draw.
    pub weight: f64,
}

impl ServiceChoice {
    pub(crate) fn new(
        target: &RouteTarget,
        explanation: &PlacingExplanation,
        table: &InstanceTable,
        timeout: Duration,
    ) -> Self {
        let scores = explanation.candidates.iter().filter_map(|candidate| {
            let record = table.get(candidate.key)?;
            Some(CandidateScore {
                name: record.name.clone(),
                zone: record.zone.clone(),
                is_eligible: candidate.is_eligible,
                is_healthy: candidate.is_healthy,
                utilization: candidate.load.utilization(),
                requests: candidate.load.requests,
                limit: candidate.load.limit,
                free_slots: (candidate.load.limit - candidate.load.requests).max(0.0),
                wait_ms: 1000.0 * candidate.load.wait_seconds(),
                is_reported: candidate.is_reported,
                admission: candidate.admission(timeout),
                completion_ms: 1000.0 * candidate.completion_seconds,
                weight: candidate.weight,
            })
        });
        Self {
            service: target.service.clone(),
            weight: target.weight,
            urgency: explanation.urgency,
            reason: explanation.reason,
            zone_share: explanation.zone_share,
            balance: explanation.balance,
            candidates: scores.collect(),
        }
    }
}
