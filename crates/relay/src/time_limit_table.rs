//! The longest time limits of routes, by which the time that callers have spent is estimated.

use compact_str::CompactString;
use lagoonshore_state::route_table::RouteEntry;
use std::{cell::RefCell, collections::HashMap, time::Duration};

/// Routes whose longest time limit is kept.
const TRACKED_ROUTES_MAX: usize = 2048;

/// `TimeLimitTable` keeps the longest time limit that callers sent for each route.
#[derive(Debug, Default)]
pub(crate) struct TimeLimitTable {
    limits: RefCell<HashMap<CompactString, Duration>>,
}

impl TimeLimitTable {
    /// Returns the time that a caller had spent on a request before this attempt. Callers of a route
    /// start with the same time limit and send what is left of it with each retry, so the
    /// difference from the longest limit of the route is the time already spent.
    pub(crate) fn time_spent(&self, route: &RouteEntry, limit: Duration) -> Duration {
        let mut limits = self.limits.borrow_mut();
        if limits.len() >= TRACKED_ROUTES_MAX {
            limits.clear();
        }
        let longest = limits.entry(route.name.clone()).or_insert(limit);
        *longest = limit.max(*longest);
        longest.saturating_sub(limit)
    }
}
