//! Description of a deployment: its services, what their routes do, and the traffic offered.

use crate::arguments::StandinResult;

use compact_str::CompactString;
use serde::Deserialize;
use std::{path::Path, time::Duration};

/// `DeploymentPlan` describes one deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// Region of all zones.
    pub region: CompactString,
    /// Availability zones, each with one instance of every service.
    pub zones: Vec<CompactString>,
    /// Service that callers call.
    pub entry: CompactString,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Traffic of the callers.
    pub traffic: Vec<TrafficPlan>,
}

/// `ServicePlan` describes one service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Name.
    pub name: CompactString,
    /// Requests that one upstream works on at the same time.
    pub slots: usize,
    /// Routes; the first whose method and path prefix match applies.
    pub routes: Vec<RoutePlan>,
}

/// `RoutePlan` says what one route does.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePlan {
    /// HTTP method.
    pub method: CompactString,
    /// Prefix of the path.
    pub path: CompactString,
    /// Time that the own work takes, in milliseconds.
    pub work_ms: u64,
    /// Services called after the own work, with the same method and path.
    #[serde(default)]
    pub calls: Vec<CompactString>,
}

/// `TrafficPlan` is one kind of request that callers make.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficPlan {
    /// Name shown in tables.
    pub name: CompactString,
    /// HTTP method.
    pub method: CompactString,
    /// Path; the tag of the request is added.
    pub path: CompactString,
    /// Share of the traffic, relative to the others.
    pub weight: u32,
    /// Importance, for the table only.
    pub importance: u8,
    /// Whether a request may be sent again when its outcome is unknown.
    pub idempotent: bool,
    /// Time that a caller waits, in milliseconds.
    pub timeout_ms: u64,
}

impl DeploymentPlan {
    /// Reads a plan from a file.
    pub fn load(path: &Path) -> StandinResult<Self> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|fault| format!("{}: {fault}", path.display()))?;
        serde_saphyr::from_str(&text).map_err(|fault| format!("{}: {fault}", path.display()))
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&ServicePlan> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl ServicePlan {
    /// Finds the route of a request.
    pub fn route(&self, method: &str, path: &str) -> Option<&RoutePlan> {
        let matches = |route: &&RoutePlan| route.method == method && path.starts_with(&*route.path);
        self.routes.iter().find(matches)
    }
}

impl RoutePlan {
    /// Time of the own work.
    pub const fn work(&self) -> Duration {
        Duration::from_millis(self.work_ms)
    }
}
