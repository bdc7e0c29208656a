//! Deployment file: services, the work and calls of their routes, and the offered traffic.

use crate::arguments::StandinResult;

use compact_str::CompactString;
use serde::Deserialize;
use std::{path::Path, time::Duration};

/// `DeploymentPlan` is the content of a deployment file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// Region that all zones belong to.
    pub region: CompactString,
    /// Availability zones, each with one instance of every service.
    pub zones: Vec<CompactString>,
    /// Name of the service that callers send their requests to.
    pub entry: CompactString,
    /// All services, the entry included.
    pub services: Vec<ServicePlan>,
    /// Kinds of request that callers send.
    pub traffic: Vec<TrafficPlan>,
}

/// `ServicePlan` is the description of one service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Name of the service, as in calls and records.
    pub name: CompactString,
    /// Requests that one upstream runs at the same time; further ones wait.
    pub slots: usize,
    /// Routes; the first whose method and path prefix match applies.
    pub routes: Vec<RoutePlan>,
}

/// `RoutePlan` is the work and the calls that a request on one route causes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePlan {
    /// HTTP method.
    pub method: CompactString,
    /// Path prefix.
    pub path: CompactString,
    /// Time that the service's own work takes, in milliseconds.
    pub work_ms: u64,
    /// Services called one after the other once the work of the request is done, with the same
    /// method and path.
    #[serde(default)]
    pub calls: Vec<CompactString>,
}

/// `TrafficPlan` is one kind of request that callers send.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficPlan {
    /// Name in tables, reports and `--only`.
    pub name: CompactString,
    /// HTTP method.
    pub method: CompactString,
    /// Path, without the tag of the request, which is appended as the last segment.
    pub path: CompactString,
    /// Share of the traffic, relative to the sum of all weights.
    pub weight: u32,
    /// Importance, shown in tables and reports; it is not sent.
    pub importance: u8,
    /// Whether a request may run more than once. One that may not is sent with an idempotency key.
    pub idempotent: bool,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
}

impl DeploymentPlan {
    /// Reads a plan from a YAML file; an unknown field is an error.
    pub fn load(path: &Path) -> StandinResult<Self> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| format!("{}: {error}", path.display()))?;
        serde_saphyr::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
    }

    /// Finds a service by name.
    pub fn find_service(&self, name: &str) -> Option<&ServicePlan> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl ServicePlan {
    /// Finds the first route that matches the method and path of a request.
    pub fn find_route(&self, method: &str, path: &str) -> Option<&RoutePlan> {
        let matches = |route: &&RoutePlan| route.method == method && path.starts_with(&*route.path);
        self.routes.iter().find(matches)
    }
}

impl RoutePlan {
    /// Time that the service's own work takes.
    pub const fn work_time(&self) -> Duration {
        Duration::from_millis(self.work_ms)
    }
}
