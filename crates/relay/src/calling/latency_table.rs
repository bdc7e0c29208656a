//! Latencies of requests by route.

use compact_str::CompactString;
use lagoonshore_coordination::retries::route_latency::RouteLatency;
use std::{cell::RefCell, collections::HashMap, time::Duration};

/// `LatencyTable` records the latencies of each route.
#[derive(Debug, Default)]
pub(crate) struct LatencyTable {
    routes: RefCell<HashMap<CompactString, RouteLatency>>,
}

impl LatencyTable {
    /// Median latency of a route; `None` until enough samples exist.
    pub(crate) fn median(&self, route: &str) -> Option<Duration> {
        self.routes.borrow().get(route)?.median()
    }

    /// Records the latency of a request of `route`.
    pub(crate) fn record(&self, route: &CompactString, elapsed: Duration) {
        let mut routes = self.routes.borrow_mut();
        if let Some(known) = routes.get_mut(route) {
            known.record(elapsed);
            return;
        }
        let mut latency = RouteLatency::default();
        latency.record(elapsed);
        routes.insert(route.clone(), latency);
    }

    /// Drops every route for which `is_kept` returns `false`.
    pub(crate) fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        self.routes.borrow_mut().retain(|name, _| is_kept(name));
    }
}
