//! Bound on the repeats that all nodes together make at a service.
//!
//! The fleet may make `ratio` repeats for each request, and `slack` more in each window. No node
//! knows what the others repeat, so each takes an equal part of the slack and its own requests
//! only. A repeat of a request whose run makes calls repeats these as well, so that a part of the
//! allowance is kept for what follows below.

use super::{retry_quota::RetryQuota, window_parts::WindowParts};

use lagoonshore_state::{ids::ServiceName, units::RequestImportance};

use std::collections::HashMap;
use tokio::time::Instant;

/// Parts that a window is counted in.
const WINDOW_PARTS: u32 = 10;

/// `AllowanceRules` says how much the fleet may repeat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceRules {
    /// Bound of the fleet.
    pub quota: RetryQuota,
    /// Share of the allowance that is spent; the rest is left for what nodes cannot see.
    pub own_share: f64,
    /// Share of that which requests of less than the highest importance may use up.
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

/// `RetryAllowance` decides which repeats a node may make.
#[derive(Debug)]
pub struct RetryAllowance {
    rules: AllowanceRules,
    nodes: u32,
    services: HashMap<ServiceName, WindowParts<RepeatCount>>,
}

#[derive(Debug, Default)]
struct RepeatCount {
    requests: u32,
    repeats: u32,
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

    /// Sets the number of nodes that share the allowance. It falls at once only to half, so that
    /// a list that has lost entries for a moment does not free the parts of nodes that still run.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = nodes.max(1).max(self.nodes / 2);
    }

    /// Counts the first sending of a request to `service`.
    pub fn record_request(&mut self, now: Instant, service: &ServiceName) {
        self.part(now, service).requests += 1;
    }

    /// Counts a repeat that is made whatever the allowance says: a call of a repeated run.
    pub fn record_retry(&mut self, now: Instant, service: &ServiceName) {
        self.part(now, service).repeats += 1;
    }

    /// Takes one repeat at `service` out of the allowance; `false` if it is used up. A repeat
    /// whose run makes calls costs `cost` repeats.
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
        } = rules.quota;
        let slack = slack / f64::from(self.nodes);
        // A service without requests has its part of the slack.
        self.part(now, service);
        let Some(parts) = self.services.get(service) else {
            return false;
        };
        let recent = parts.reaching(now, window);
        let (requests, repeats) = recent.fold((0, 0), |(requests, repeats), count| {
            (requests + count.requests, repeats + count.repeats)
        });
        let is_common = importance > RequestImportance(0);
        let share = if is_common { rules.common_share } else { 1.0 };
        let allowed = rules.own_share * share * (ratio * f64::from(requests) + slack);
        if f64::from(repeats) + f64::from(cost) > allowed {
            return false;
        }
        self.part(now, service).repeats += cost;
        true
    }

    fn part(&mut self, now: Instant, service: &ServiceName) -> &mut RepeatCount {
        let window = self.rules.quota.window;
        let parts = self.services.entry(service.clone()).or_default();
        parts.current(now, window / WINDOW_PARTS, window)
    }
}
