//! Control of the retries of one node: its retry budget, its hedge budget, and the latencies
//! measured for its routes.

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
    /// `RouteKey` identifies a route: a request class of a service.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct RouteKey {
        /// Called service.
        pub service: ServiceName,
        /// Request class.
        pub class: ClassName,
    }

    /// `RetryCounters` counts the retries that a node made or refused since it started.
    #[derive(Copy, Default)]
    pub struct RetryCounters {
        /// Tokens spent on retries, on hedges and on retries by the upstream.
        pub tokens_spent: u64,
        /// Retries by the upstream that were let through.
        pub repeats_allowed: u64,
        /// Retries by the upstream that were refused.
        pub repeats_refused: u64,
        /// Hedges sent.
        pub hedges_made: u64,
        /// Hedges that were answered first.
        pub hedges_won: u64,
        /// Attempts that were cancelled because another attempt was answered.
        pub attempts_cancelled: u64,
    }

    /// `RetrySummary` shows the state of the budgets and counters of a node.
    pub struct RetrySummary {
        /// Retries that the retry budget currently allows.
        pub budget: f64,
        /// Hedges that the hedge budget currently allows.
        pub hedge_budget: f64,
        /// Retries made and refused.
        #[serde(flatten)]
        pub counters: RetryCounters,
    }
}

/// `RetryControl` decides on the retries of a node.
#[derive(Debug, Default)]
pub struct RetryControl {
    budget: RetryBudget,
    hedge_budget: HedgeBudget,
    routes: BTreeMap<RouteKey, RouteLatency>,
    counters: RetryCounters,
}

impl RetryControl {
    /// Counts a first attempt; `ratio` is the allowed share of retries.
    pub fn record_call(&mut self, ratio: f64, idempotent: bool) {
        self.budget.record_call(ratio);
        if idempotent {
            self.hedge_budget.record_call();
        }
    }

    /// Spends a token of `tokens` and one retry of the retry budget; `false`, with neither spent,
    /// if either is used up.
    pub fn spend_retry(&mut self, tokens: &SharedTokens) -> bool {
        if tokens.balance().0 == 0 || !self.budget.spend() {
            return false;
        }
        self.counters.tokens_spent += 1;
        tokens.spend()
    }

    /// Spends a token of `tokens` and one hedge and one retry of the two budgets; `false`, with
    /// none spent, if any is used up.
    pub fn spend_hedge(&mut self, tokens: &SharedTokens) -> bool {
        if !self.hedge_budget.has_hedge() || !self.spend_retry(tokens) {
            return false;
        }
        self.counters.hedges_made += 1;
        self.hedge_budget.spend()
    }

    /// Spends a token and a retry for a retry that the upstream makes on its own; `false` if it is
    /// refused.
    pub fn spend_upstream_retry(&mut self, tokens: &SharedTokens) -> bool {
        let is_allowed = self.spend_retry(tokens);
        if is_allowed {
            self.counters.repeats_allowed += 1;
        } else {
            self.counters.repeats_refused += 1;
        }
        is_allowed
    }

    /// Counts a cancelled attempt; `by_hedge` if the hedge was answered first.
    pub const fn record_cancelled(&mut self, by_hedge: bool) {
        self.counters.attempts_cancelled += 1;
        self.counters.hedges_won += by_hedge as u64;
    }

    /// Records the time until a call of `route` was answered.
    pub fn record_latency(&mut self, route: &RouteKey, latency: Duration) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), RouteLatency::default());
        }
        if let Some(known) = self.routes.get_mut(route) {
            known.record(latency);
        }
    }

    /// Median latency of `route`; `None` while there are too few samples.
    #[must_use]
    pub fn median_latency(&self, route: &RouteKey) -> Option<Duration> {
        self.routes.get(route)?.median()
    }

    /// Delay after which a call of `route` may be hedged; `None` while there are too few samples.
    #[must_use]
    pub fn hedge_delay(&self, route: &RouteKey) -> Option<Duration> {
        self.routes.get(route)?.high_quantile()
    }

    /// Current state of the budgets and counters.
    #[must_use]
    pub const fn summary(&self) -> RetrySummary {
        RetrySummary {
            budget: self.budget.saved(),
            hedge_budget: self.hedge_budget.saved(),
            counters: self.counters,
        }
    }
}
