//! Division of the requests of a route among its services by weight.
//!
//! Smooth weighted round robin, as in nginx: each choice raises the credit of every target by its
//! weight and lowers that of the chosen target by the sum of the weights, so that the shares hold
//! over any sequence of requests.

use lagoonshore_state::{
    ids::ServiceName,
    route_table::{RouteEntry, RouteTarget},
};

use compact_str::CompactString;
use std::collections::HashMap;

/// `TrafficSplit` holds the round-robin state of each route with several services.
#[derive(Debug, Default)]
pub struct TrafficSplit {
    routes: HashMap<CompactString, SplitState>,
}

#[derive(Debug)]
struct SplitState {
    targets: Vec<RouteTarget>,
    credits: Vec<i64>,
}

impl TrafficSplit {
    /// Chooses the service of the next request of `route`; `None` if the sum of its weights is
    /// zero.
    pub fn choose(&mut self, route: &RouteEntry) -> Option<ServiceName> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let known = self.routes.get(&route.name);
        if known.is_none_or(|state| state.targets != route.targets) {
            let state = SplitState::new(&route.targets);
            self.routes.insert(route.name.clone(), state);
        }
        self.routes.get_mut(&route.name)?.next()
    }

    /// Removes the state of routes that are no longer in force.
    pub fn retain(&mut self, is_in_force: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_in_force(name));
    }
}

impl SplitState {
    fn new(targets: &[RouteTarget]) -> Self {
        Self {
            targets: targets.to_vec(),
            credits: vec![0; targets.len()],
        }
    }

    fn next(&mut self) -> Option<ServiceName> {
        let weights = self.targets.iter().map(|target| i64::from(target.weight));
        let sum: i64 = weights.clone().sum();
        if sum == 0 {
            return None;
        }
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += weight;
        }
        let credits = self.credits.iter().enumerate();
        let (chosen, _) = credits.max_by_key(|(index, credit)| (**credit, usize::MAX - index))?;
        self.credits[chosen] -= sum;
        Some(self.targets[chosen].service.clone())
    }
}
