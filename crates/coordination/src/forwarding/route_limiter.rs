//! Concurrency limit for the requests of a route at one upstream, by how long the calls that they
//! make wait at other services.
//!
//! When a service deep in the call graph is saturated, every request that is admitted at the entry
//! delays all the others: they hold slots while they wait, and most of them miss their latency
//! target in the end. With fewer at a time, requests complete in time. The limit follows additive
//! increase, multiplicative decrease (Chiu and Jain, "Analysis of the Increase and Decrease
//! Algorithms for Congestion Avoidance in Computer Networks", 1989), with the waiting time of calls
//! as the congestion signal.

use super::slot_queue::RouteId;

use crate::moving_average::MovingAverage;

use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Weight of a new sample in the moving average of the wait.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Share of the latency target that the calls of a request may wait in total before the limit
/// falls.
const WAIT_SHARE_MAX: f64 = 0.25;
/// Share of the latency target below which the limit rises.
const WAIT_SHARE_LOW: f64 = 0.15;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Least time between two decreases.
const DECREASE_PAUSE: Duration = Duration::from_millis(150);
/// Increase for each request whose calls waited little, in requests.
const INCREASE: f64 = 0.25;
/// Lowest limit, in requests: some always run, so that an improvement is noticed.
const LIMIT_MIN: f64 = 2.0;
/// Share of the limit that first attempts may use.
const FIRST_ATTEMPT_SHARE: f64 = 0.85;
/// Largest number of routes that are tracked.
const ROUTES_MAX: usize = 256;

/// `RouteLimiter` limits how many requests of each route run concurrently.
#[derive(Debug, Default)]
pub struct RouteLimiter {
    routes: HashMap<RouteId, RouteState>,
}

#[derive(Debug)]
struct RouteState {
    limit: f64,
    running: u32,
    wait_share: MovingAverage,
    last_decrease: Option<Instant>,
}

impl RouteLimiter {
    /// Admits a request of `route` if the limit allows one more; `limit_max` caps the limit. A
    /// share of the limit is reserved for callers that retry after a refusal (`is_returning`).
    pub fn try_acquire(&mut self, route: RouteId, limit_max: u32, is_returning: bool) -> bool {
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(&route) {
            self.routes.retain(|_, state| state.running > 0);
        }
        let limit_max = f64::from(limit_max.max(1));
        let state = self
            .routes
            .entry(route)
            .or_insert_with(|| RouteState::new(limit_max));
        state.limit = state.limit.min(limit_max).max(LIMIT_MIN);
        let share = if is_returning {
            1.0
        } else {
            FIRST_ATTEMPT_SHARE
        };
        let usable_limit = (state.limit * share).max(LIMIT_MIN);
        if f64::from(state.running) + 1.0 > usable_limit {
            return false;
        }
        state.running += 1;
        true
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, route: RouteId) {
        if let Some(state) = self.routes.get_mut(&route) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// Records how long the calls of a request with the latency target `aim` waited.
    pub fn record_wait(&mut self, now: Instant, route: RouteId, wait: Duration, aim: Duration) {
        let Some(state) = self.routes.get_mut(&route) else {
            return;
        };
        let share = wait.as_secs_f64() / aim.as_secs_f64().max(0.001);
        state.wait_share.record(share.min(2.0), SAMPLE_WEIGHT);
        let wait_share = state.wait_share.mean();
        let can_decrease = state
            .last_decrease
            .is_none_or(|decreased| now - decreased >= DECREASE_PAUSE);
        if wait_share > WAIT_SHARE_MAX && can_decrease {
            let in_use = f64::from(state.running + 1);
            state.limit = (state.limit.min(in_use) * DECREASE_FACTOR).max(LIMIT_MIN);
            state.last_decrease = Some(now);
        } else if wait_share < WAIT_SHARE_LOW {
            state.limit += INCREASE;
        }
    }

    /// Current limit of `route`, in requests; `None` until one was admitted.
    #[must_use]
    pub fn limit(&self, route: RouteId) -> Option<f64> {
        self.routes.get(&route).map(|state| state.limit)
    }
}

impl RouteState {
    const fn new(limit: f64) -> Self {
        Self {
            limit,
            running: 0,
            wait_share: MovingAverage::new(0.0),
            last_decrease: None,
        }
    }
}
