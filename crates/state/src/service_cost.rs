//! Service times observed at a node, by request class.

use crate::ids::ClassName;

use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Weight of a sample below the typical time.
const FALLING_WEIGHT: f64 = 0.3;
/// Weight of a sample above the typical time. It is smaller than [`FALLING_WEIGHT`], so that the
/// typical time stays near the lower samples while a queue or a straggler lengthens others.
const RISING_WEIGHT: f64 = 0.05;
/// Time after which the shortest own time expires, so that a lasting change becomes the new
/// baseline.
const FLOOR_TTL: Duration = Duration::from_secs(10);
/// Least own time of a class that counts as long-running.
const LONG_WORK_MIN: Duration = Duration::from_secs(1);
/// Least ratio of a long-running class's own time to that of the quickest class.
const LONG_WORK_FACTOR: f64 = 10.0;
/// Upper bound of the required time as a share of the class's timeout.
const REQUIRED_SHARE_MAX: f64 = 0.8;
/// Samples that a class needs before its own time is compared with that of other classes.
const SAMPLES_MIN: u32 = 3;

data_type! {
    /// `ServiceSample` is the service time of one finished request.
    #[derive(Copy, Eq)]
    pub struct ServiceSample {
        /// Time from the dispatch to the upstream until the end.
        pub total: Duration,
        /// Own time: the part of `total` in which no child call was open.
        pub own: Duration,
        /// Whether the upstream responded completely before the deadline.
        pub succeeded: bool,
    }

    /// `ServiceCost` is the learned service time of one class.
    #[derive(Copy, Default)]
    pub struct ServiceCost {
        /// Typical time to a complete response.
        pub typical: Duration,
        /// Typical own time, over all requests.
        pub own: Duration,
        /// Shortest recent own time.
        pub floor: Duration,
        /// Number of requests recorded.
        pub samples: u32,
        /// Time at which `floor` was last set.
        #[serde(skip)]
        pub floor_at: Option<Instant>,
    }
}

/// `CostTable` learns the service times of request classes.
#[derive(Clone, Debug, Default)]
pub struct CostTable {
    costs: BTreeMap<ClassName, ServiceCost>,
}

impl CostTable {
    /// Records a finished request; returns its own time as a multiple of the shortest recent one.
    pub fn record(&mut self, now: Instant, class: &ClassName, sample: ServiceSample) -> f64 {
        let cost = self.costs.entry(class.clone()).or_default();
        cost.samples = cost.samples.saturating_add(1);
        cost.own = smooth(cost.own, sample.own);
        if sample.succeeded {
            cost.typical = smooth(cost.typical, sample.total);
        }
        let is_expired = cost.floor_at.is_none_or(|at| at + FLOOR_TTL <= now);
        if is_expired || sample.own <= cost.floor {
            cost.floor = sample.own;
            cost.floor_at = Some(now);
        }
        let floor = cost.floor.max(Duration::from_millis(1));
        sample.own.as_secs_f64() / floor.as_secs_f64()
    }

    /// Returns the time that a request of `class` is expected to take. It is bounded by a share of
    /// the class's `timeout`, since a larger estimate would make the node refuse every request
    /// after a period of slow responses.
    #[must_use]
    pub fn required_time(&self, class: &str, timeout: Duration) -> Duration {
        let typical = self.costs.get(class).map(|cost| cost.typical);
        typical
            .unwrap_or_default()
            .min(timeout.mul_f64(REQUIRED_SHARE_MAX))
    }

    /// Returns `true` if `class` has proved to be long-running: its own time is long in itself and
    /// far longer than that of the quickest class.
    #[must_use]
    pub fn is_long_running(&self, class: &str) -> bool {
        let has_samples = |cost: &&ServiceCost| cost.samples >= SAMPLES_MIN;
        let Some(cost) = self.costs.get(class).filter(has_samples) else {
            return false;
        };
        let quickest = self.costs.values().filter(has_samples).map(|cost| cost.own);
        let quickest = quickest.min().unwrap_or_default();
        cost.own >= LONG_WORK_MIN && cost.own >= quickest.mul_f64(LONG_WORK_FACTOR)
    }

    /// Returns all costs, by class.
    #[must_use]
    pub const fn costs(&self) -> &BTreeMap<ClassName, ServiceCost> {
        &self.costs
    }
}

fn smooth(typical: Duration, sample: Duration) -> Duration {
    if typical.is_zero() {
        return sample;
    }
    let weight = if sample < typical {
        FALLING_WEIGHT
    } else {
        RISING_WEIGHT
    };
    typical.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}
