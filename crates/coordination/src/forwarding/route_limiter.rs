//! Bound on how many requests of a kind an upstream runs at the same time, by how long the calls
//! that they make have to wait further down.
//!
//! When a service deep in the call graph is full, every request that is let in at the top makes
//! all of them later: they hold slots and wait, and in the end most of them miss their aim. Fewer
//! at a time get through in time. Additive increase, multiplicative decrease (Chiu and Jain,
//! "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer
//! Networks", 1989), with the wait below as the sign of congestion.

use super::slot_queue::RouteId;

use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Weight of a new sample in the average wait.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Share of the aim that calls may wait in all before fewer requests are let in.
const WAIT_SHARE_MAX: f64 = 0.25;
/// Share of the aim below which more requests are let in.
const WAIT_SHARE_LOW: f64 = 0.15;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Time between two decreases.
const DECREASE_PAUSE: Duration = Duration::from_millis(150);
/// Increase with each request that ends without much wait.
const INCREASE: f64 = 0.25;
/// Least bound: some requests always find out how things are.
const LIMIT_MIN: f64 = 2.0;
/// Share of the bound that first tries may use.
const FIRST_SHARE: f64 = 0.85;
/// Kinds that are remembered.
const KINDS_MAX: usize = 256;

/// `RouteLimiter` decides how many requests of each kind run at the same time.
#[derive(Debug, Default)]
pub struct RouteLimiter {
    kinds: HashMap<RouteId, KindPace>,
}

#[derive(Debug)]
struct KindPace {
    limit: f64,
    running: u32,
    wait_share: f64,
    last_cut: Option<Instant>,
}

impl RouteLimiter {
    /// Lets a request of `kind` in, if its bound allows one more; `most` bounds it in any case. A
    /// part of the bound is kept for callers that were told to come back and did.
    pub fn try_acquire(&mut self, kind: RouteId, most: u32, is_returning: bool) -> bool {
        if self.kinds.len() >= KINDS_MAX && !self.kinds.contains_key(&kind) {
            self.kinds.retain(|_, pace| pace.running > 0);
        }
        let most = f64::from(most.max(1));
        let pace = self
            .kinds
            .entry(kind)
            .or_insert_with(|| KindPace::new(most));
        pace.limit = pace.limit.min(most).max(LIMIT_MIN);
        let share = if is_returning { 1.0 } else { FIRST_SHARE };
        let bound = (pace.limit * share).max(LIMIT_MIN);
        if f64::from(pace.running) + 1.0 > bound {
            return false;
        }
        pace.running += 1;
        true
    }

    /// Notes the end of a request that was let in.
    pub fn release(&mut self, kind: RouteId) {
        if let Some(pace) = self.kinds.get_mut(&kind) {
            pace.running = pace.running.saturating_sub(1);
        }
    }

    /// Learns how long the calls of a request with the given aim had to wait.
    pub fn record_wait(&mut self, now: Instant, kind: RouteId, wait: Duration, aim: Duration) {
        let Some(pace) = self.kinds.get_mut(&kind) else {
            return;
        };
        let share = wait.as_secs_f64() / aim.as_secs_f64().max(0.001);
        pace.wait_share += SAMPLE_WEIGHT * (share.min(2.0) - pace.wait_share);
        let may_cut = pace.last_cut.is_none_or(|cut| now - cut >= DECREASE_PAUSE);
        if pace.wait_share > WAIT_SHARE_MAX && may_cut {
            let used = f64::from(pace.running + 1);
            pace.limit = (pace.limit.min(used) * DECREASE_FACTOR).max(LIMIT_MIN);
            pace.last_cut = Some(now);
        } else if pace.wait_share < WAIT_SHARE_LOW {
            pace.limit += INCREASE;
        }
    }

    /// Bound on the requests of `kind`, once one was seen.
    #[must_use]
    pub fn limit(&self, kind: RouteId) -> Option<f64> {
        self.kinds.get(&kind).map(|pace| pace.limit)
    }
}

impl KindPace {
    const fn new(limit: f64) -> Self {
        Self {
            limit,
            running: 0,
            wait_share: 0.0,
            last_cut: None,
        }
    }
}
