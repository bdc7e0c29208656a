//! Times that instances take for the requests of a route, as their nodes report them.
//!
//! Each reply carries the mean time of the latest runs of its route at the instance, over the
//! requests of all senders. A sender therefore knows the speed of an instance after a single reply.

use crate::{age_weights, forwarding::slot_queue::RouteId, moving_average::MovingAverage};

use lagoonshore_state::instance_table::InstanceKey;
use slotmap::SecondaryMap;
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Time constant of the lasting estimate.
const LASTING_TIME: Duration = Duration::from_secs(3);
/// Least weight of a report in the lasting estimate.
const REPORT_WEIGHT_MIN: f64 = 0.02;
/// Age at which a report says no more than the lasting estimate; brief disturbances have passed.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Age of the last report at which an estimate is dropped.
const ESTIMATE_TTL: Duration = Duration::from_secs(30);
/// Largest number of routes whose times are kept.
const ROUTES_MAX: usize = 64;

/// `WorkTimes` holds the reported times by route and instance.
#[derive(Debug, Default)]
pub struct WorkTimes {
    routes: HashMap<RouteId, RouteTimes>,
}

/// `RouteTimes` holds the reported times of one route by instance.
#[derive(Debug, Default)]
pub struct RouteTimes {
    instances: SecondaryMap<InstanceKey, WorkEstimate>,
}

#[derive(Clone, Copy, Debug)]
struct WorkEstimate {
    lasting_seconds: MovingAverage,
    reported_seconds: f64,
    reported_at: Instant,
}

impl WorkTimes {
    /// Records the mean time that an instance takes for requests of `route`.
    pub fn record(&mut self, now: Instant, key: InstanceKey, route: RouteId, reported: Duration) {
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(&route) {
            self.routes.clear();
        }
        let times = self.routes.entry(route).or_default();
        let seconds = reported.as_secs_f64();
        if let Some(estimate) = times.instances.get_mut(key)
            && !estimate.is_expired(now)
        {
            estimate.update(now, seconds);
            return;
        }
        times.instances.insert(key, WorkEstimate::new(now, seconds));
    }

    /// Returns the times of `route`; `None` before its first report.
    #[must_use]
    pub fn of_route(&self, route: RouteId) -> Option<&RouteTimes> {
        self.routes.get(&route)
    }
}

impl RouteTimes {
    /// Returns the expected time of a run at an instance, in seconds; `None` if it is unknown.
    #[must_use]
    pub fn seconds(&self, now: Instant, key: InstanceKey) -> Option<f64> {
        let estimate = self.instances.get(key)?;
        (!estimate.is_expired(now)).then(|| estimate.seconds(now))
    }
}

impl WorkEstimate {
    const fn new(now: Instant, seconds: f64) -> Self {
        Self {
            lasting_seconds: MovingAverage::new(seconds),
            reported_seconds: seconds,
            reported_at: now,
        }
    }

    fn update(&mut self, now: Instant, seconds: f64) {
        let weight = self.age_share(now, LASTING_TIME).max(REPORT_WEIGHT_MIN);
        self.lasting_seconds.record(seconds, weight);
        self.reported_seconds = seconds;
        self.reported_at = now;
    }

    /// Returns the latest report, which fades to the lasting estimate as it ages.
    fn seconds(&self, now: Instant) -> f64 {
        let freshness = 1.0 - self.age_share(now, REPORT_TTL);
        let lasting_seconds = self.lasting_seconds.mean();
        lasting_seconds + freshness * (self.reported_seconds - lasting_seconds)
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported_at) >= ESTIMATE_TTL
    }

    /// Returns the age of the report as a share of `time`, at most 1.
    fn age_share(&self, now: Instant, time: Duration) -> f64 {
        age_weights::age_share(now, self.reported_at, time)
    }
}
