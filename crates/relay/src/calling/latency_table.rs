//! How long requests of each route take.

use compact_str::CompactString;
use lagoonshore_coordination::retries::route_latency::RouteLatency;
use std::{cell::RefCell, collections::HashMap, time::Duration};

/// `LatencyTable` learns the latencies of routes.
#[derive(Debug, Default)]
pub(crate) struct LatencyTable {
    routes: RefCell<HashMap<CompactString, RouteLatency>>,
}

impl LatencyTable {
    /// Median of a route, once it is known.
    pub(crate) fn median(&self, route: &str) -> Option<Duration> {
        self.routes.borrow().get(route)?.median()
    }

    /// Learns how long a request of `route` took.
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

    /// Forgets all routes but those that `is_kept` names.
    pub(crate) fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        self.routes.borrow_mut().retain(|name, _| is_kept(name));
    }
}
