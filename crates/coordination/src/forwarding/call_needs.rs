//! Number of calls that a request of a route needs, learnt from complete runs.

use super::slot_queue::RouteId;

use crate::moving_average::MovingAverage;

use std::collections::HashMap;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Largest number of routes that are tracked.
const ROUTES_MAX: usize = 256;

/// `CallNeeds` holds the mean number of calls of the complete runs of each route. Runs that failed
/// do not count, since they end before they have made all their calls.
#[derive(Debug, Default)]
pub struct CallNeeds {
    routes: HashMap<RouteId, MovingAverage>,
}

impl CallNeeds {
    /// Records a complete run of `route` that made `calls` calls, nested ones included.
    pub fn record_run(&mut self, route: RouteId, calls: u32) {
        let calls = f64::from(calls);
        if let Some(known) = self.routes.get_mut(&route) {
            known.record(calls, SAMPLE_WEIGHT);
            return;
        }
        if self.routes.len() >= ROUTES_MAX {
            self.routes.clear();
        }
        self.routes.insert(route, MovingAverage::new(calls));
    }

    /// Calls that a request of `route` is expected to make; `None` until one has run completely.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn expected_calls(&self, route: RouteId) -> Option<u32> {
        let known = self.routes.get(&route);
        known.map(|calls| calls.mean().round() as u32)
    }
}
