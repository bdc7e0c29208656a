//! What bounds the repeats of one node: its retry budget, its hedge budget, and the latencies
//! that its routes were seen to have.

use super::{
    hedge_budget::HedgeBudget, retry_budget::RetryBudget, retry_tokens::SharedTokens,
    route_latency::RouteLatency,
};

use lagoonshore_state::{
    data_type,
    ids::{ClassName, ServiceName},
};
use std::{collections::BTreeMap, time::Duration};

data_type! {
    /// `RouteKey` names a route: a request class of a service.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct RouteKey {
        /// Called service.
        pub service: ServiceName,
        /// Request class.
        pub class: ClassName,
    }

    /// `RetryCounters` counts the repeats that a node made or refused since it started.
    #[derive(Copy, Default)]
    pub struct RetryCounters {
        /// Tokens spent on retries, hedges and repeats of the upstream.
        pub tokens_spent: u64,
        /// Repeats of the upstream that were let through.
        pub repeats_allowed: u64,
        /// Repeats of the upstream that were refused.
        pub repeats_refused: u64,
        /// Hedges sent.
        pub hedges_made: u64,
        /// Hedges whose answer came first.
        pub hedges_won: u64,
        /// Attempts that were cancelled because another one was answered.
        pub attempts_cancelled: u64,
    }

    /// `RetrySummary` shows what bounds the repeats of a node.
    pub struct RetrySummary {
        /// Retries that the ratio budget allows now.
        pub budget: f64,
        /// Hedges that the hedge budget allows now.
        pub hedge_budget: f64,
        /// What was made and refused.
        #[serde(flatten)]
        pub counters: RetryCounters,
    }
}

/// `RetryControl` decides on the repeats of a node.
#[derive(Debug, Default)]
pub struct RetryControl {
    budget: RetryBudget,
    hedge_budget: HedgeBudget,
    routes: BTreeMap<RouteKey, RouteLatency>,
    counters: RetryCounters,
}

impl RetryControl {
    /// Counts a first try; `ratio` is the allowed share of retries.
    pub fn record_call(&mut self, ratio: f64, idempotent: bool) {
        self.budget.record_call(ratio);
        if idempotent {
            self.hedge_budget.record_call();
        }
    }

    /// Pays for a retry with a token of `purse` and out of the ratio budget; `false` if either
    /// is used up, and then neither is touched.
    pub fn spend_retry(&mut self, purse: &SharedTokens) -> bool {
        if purse.balance().0 == 0 || !self.budget.spend() {
            return false;
        }
        self.counters.tokens_spent += 1;
        purse.spend()
    }

    /// Pays for a hedge with a token of `purse` and out of both budgets; `false` if one is used
    /// up, and then none is touched.
    pub fn spend_hedge(&mut self, purse: &SharedTokens) -> bool {
        if !self.hedge_budget.has_hedge() || !self.spend_retry(purse) {
            return false;
        }
        self.counters.hedges_made += 1;
        self.hedge_budget.spend()
    }

    /// Pays for a repeat that the upstream makes itself; `false` refuses it.
    pub fn spend_upstream_retry(&mut self, purse: &SharedTokens) -> bool {
        let is_allowed = self.spend_retry(purse);
        if is_allowed {
            self.counters.repeats_allowed += 1;
        } else {
            self.counters.repeats_refused += 1;
        }
        is_allowed
    }

    /// Counts an attempt that was cancelled; `by_hedge` if the hedge was answered first.
    pub const fn record_cancelled(&mut self, by_hedge: bool) {
        self.counters.attempts_cancelled += 1;
        self.counters.hedges_won += by_hedge as u64;
    }

    /// Adds the time to an answer of a route.
    pub fn record_latency(&mut self, route: &RouteKey, latency: Duration) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), RouteLatency::default());
        }
        if let Some(known) = self.routes.get_mut(route) {
            known.record(latency);
        }
    }

    /// Median latency of a route, once it is known.
    #[must_use]
    pub fn median_latency(&self, route: &RouteKey) -> Option<Duration> {
        self.routes.get(route)?.median()
    }

    /// Time after which a call of a route may be hedged, once it is known.
    #[must_use]
    pub fn hedge_delay(&self, route: &RouteKey) -> Option<Duration> {
        self.routes.get(route)?.high_quantile()
    }

    /// What bounds the repeats now.
    #[must_use]
    pub const fn summary(&self) -> RetrySummary {
        RetrySummary {
            budget: self.budget.saved(),
            hedge_budget: self.hedge_budget.saved(),
            counters: self.counters,
        }
    }
}
