//! Allowance for the retries that all nodes together send to a service.
//!
//! The fleet may send `ratio` retries for each request, and `slack` more in each window. A node
//! does not know what the others retry, so each counts only its own requests and takes an equal
//! share of the slack. When a request that makes calls is retried, its calls are retried as well,
//! so a part of the allowance is reserved for those calls.

use super::{retry_quota::RetryQuota, sliding_window::SlidingWindow};

use lagoonshore_state::{ids::ServiceName, units::RequestImportance};

use std::collections::HashMap;
use tokio::time::Instant;

/// Buckets per window.
const WINDOW_BUCKETS: u32 = 10;

/// `AllowanceRules` defines how much the fleet may retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceRules {
    /// Quota of the whole fleet.
    pub quota: RetryQuota,
    /// Share of the allowance that is spent; the rest covers retries that a node cannot see.
    pub own_share: f64,
    /// Share of the spendable allowance that requests below the highest importance may use.
    pub common_share: f64,
}

impl Default for AllowanceRules {
    fn default() -> Self {
        Self {
            quota: RetryQuota::default(),
            own_share: 0.65,
            common_share: 0.55,
        }
    }
}

/// `RetryAllowance` decides which retries a node may send.
#[derive(Debug)]
pub struct RetryAllowance {
    rules: AllowanceRules,
    nodes: u32,
    services: HashMap<ServiceName, SlidingWindow<ServiceCounts>>,
}

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: u32,
    retries: u32,
}

impl RetryAllowance {
    /// Creates an allowance for a fleet of `nodes` nodes.
    #[must_use]
    pub fn new(rules: AllowanceRules, nodes: u32) -> Self {
        Self {
            rules,
            nodes: nodes.max(1),
            services: HashMap::new(),
        }
    }

    /// Changes the rules.
    pub const fn set_rules(&mut self, rules: AllowanceRules) {
        self.rules = rules;
    }

    /// Sets the number of nodes that share the allowance. One update lowers it to half at most, so
    /// that a list that lacks entries for a moment does not free the shares of nodes that still
    /// run.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1).max(self.nodes / 2);
    }

    /// Counts the first attempt of a request to `service`.
    pub fn record_request(&mut self, now: Instant, service: &ServiceName) {
        self.current_bucket(now, service).requests += 1;
    }

    /// Counts a retry that is sent regardless of the allowance: a call made by a retried request.
    pub fn record_retry(&mut self, now: Instant, service: &ServiceName) {
        self.current_bucket(now, service).retries += 1;
    }

    /// Spends one retry to `service` of the allowance; `false` if it is used up. A retry of a
    /// request that makes calls costs `cost` retries.
    pub fn spend(
        &mut self,
        now: Instant,
        service: &ServiceName,
        importance: RequestImportance,
        cost: u32,
    ) -> bool {
        let rules = self.rules;
        let RetryQuota {
            ratio,
            slack,
            window,
            ..
        } = rules.quota;
        let slack = slack / f64::from(self.nodes);
        // A service without requests still has its share of the slack.
        self.current_bucket(now, service);
        let Some(buckets) = self.services.get(service) else {
            return false;
        };
        let recent = buckets.overlapping(now, window);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), counts| {
            (requests + counts.requests, retries + counts.retries)
        });
        let is_common = importance.route_rank() > 0;
        let share = if is_common { rules.common_share } else { 1.0 };
        let allowed = rules.own_share * share * (ratio * f64::from(requests) + slack);
        if f64::from(retries) + f64::from(cost) > allowed {
            return false;
        }
        self.current_bucket(now, service).retries += cost;
        true
    }

    fn current_bucket(&mut self, now: Instant, service: &ServiceName) -> &mut ServiceCounts {
        let window = self.rules.quota.window;
        let buckets = self.services.entry(service.clone()).or_default();
        buckets.current(now, window / WINDOW_BUCKETS, window)
    }
}
