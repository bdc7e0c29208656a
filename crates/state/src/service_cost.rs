//! Service times that a node has seen, by class.

use crate::ids::ClassName;

use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Weight of a sample below the typical time.
const WEIGHT_FALLING: f64 = 0.3;
/// Weight of a sample above the typical time. It is the smaller one, so that the typical time
/// stays near the lower times while a queue or a straggler stretches the others.
const WEIGHT_RISING: f64 = 0.05;
/// Time for which a shortest service time counts, so that a lasting change becomes the norm.
const FLOOR_TIME: Duration = Duration::from_secs(10);
/// Own time from which a class may count as long work.
const LONG_WORK_TIME: Duration = Duration::from_secs(1);
/// Own time of long work as a multiple of the quickest class.
const LONG_WORK_FACTOR: f64 = 10.0;
/// Largest learned time as a share of the timeout of the class.
const NEEDED_SHARE_MAX: f64 = 0.8;
/// Samples before a class is judged.
const SAMPLES_MIN: u32 = 3;

data_type! {
    /// `ServiceSample` is the time that one request held its slot.
    #[derive(Copy, Eq)]
    pub struct ServiceSample {
        /// Time from the hand-over to the end.
        pub total: Duration,
        /// Part of it in which no child call was open.
        pub own: Duration,
        /// Whether a whole answer came in time.
        pub succeeded: bool,
    }

    /// `ServiceCost` is what a node learned of one class.
    #[derive(Copy, Default)]
    pub struct ServiceCost {
        /// Typical time to a whole answer.
        pub typical: Duration,
        /// Typical time without child calls, of all requests.
        pub own: Duration,
        /// Shortest own time of the last seconds.
        pub floor: Duration,
        /// Requests seen.
        pub samples: u32,
        /// Time at which the floor was last set.
        #[serde(skip)]
        pub floor_at: Option<Instant>,
    }
}

/// `CostTable` learns the service times of classes.
#[derive(Clone, Debug, Default)]
pub struct CostTable {
    costs: BTreeMap<ClassName, ServiceCost>,
}

impl CostTable {
    /// Notes a finished request; returns its own time as a multiple of the shortest one.
    pub fn record(&mut self, now: Instant, class: &ClassName, sample: ServiceSample) -> f64 {
        let cost = self.costs.entry(class.clone()).or_default();
        cost.samples = cost.samples.saturating_add(1);
        cost.own = blend(cost.own, sample.own);
        if sample.succeeded {
            cost.typical = blend(cost.typical, sample.total);
        }
        let is_old = cost.floor_at.is_none_or(|at| at + FLOOR_TIME <= now);
        if is_old || sample.own <= cost.floor {
            cost.floor = sample.own;
            cost.floor_at = Some(now);
        }
        let floor = cost.floor.max(Duration::from_millis(1));
        sample.own.as_secs_f64() / floor.as_secs_f64()
    }

    /// Time that a request of `class` needs; at most a share of the class's `timeout`, so that
    /// slow answers can never teach a node to refuse every request.
    #[must_use]
    pub fn required_time(&self, class: &str, timeout: Duration) -> Duration {
        let typical = self.costs.get(class).map(|cost| cost.typical);
        typical
            .unwrap_or_default()
            .min(timeout.mul_f64(NEEDED_SHARE_MAX))
    }

    /// Tells whether `class` was seen to be long work.
    #[must_use]
    pub fn is_long_running(&self, class: &str) -> bool {
        let judged = |cost: &&ServiceCost| cost.samples >= SAMPLES_MIN;
        let Some(cost) = self.costs.get(class).filter(judged) else {
            return false;
        };
        let quickest = self.costs.values().filter(judged).map(|cost| cost.own);
        let quickest = quickest.min().unwrap_or_default();
        cost.own >= LONG_WORK_TIME && cost.own >= quickest.mul_f64(LONG_WORK_FACTOR)
    }

    /// All costs, by class.
    #[must_use]
    pub const fn costs(&self) -> &BTreeMap<ClassName, ServiceCost> {
        &self.costs
    }
}

fn blend(typical: Duration, sample: Duration) -> Duration {
    if typical.is_zero() {
        return sample;
    }
    let weight = if sample < typical {
        WEIGHT_FALLING
    } else {
        WEIGHT_RISING
    };
    typical.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}
