//! Latencies of one route, as a histogram in which old samples lose weight.

use std::time::Duration;

/// Number of buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Lower end of the first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.000_1;
/// Number of buckets; the last one ends above 100 s.
const BUCKETS: usize = 168;
/// Total weight at which all weights are halved.
const HALVING_WEIGHT: f64 = 2000.0;
/// Total weight from which the median is reported.
const MEDIAN_WEIGHT_MIN: f64 = 5.0;
/// Total weight from which the high quantile is reported.
const HIGH_WEIGHT_MIN: f64 = 50.0;
/// Quantile after which a call is hedged (Dean and Barroso, "The Tail at Scale", Communications of
/// the ACM 56(2), 2013: hedge after the 95th percentile).
const HIGH_QUANTILE: f64 = 0.95;

/// `RouteLatency` estimates quantiles of the latency of one route.
#[derive(Clone, Debug)]
pub struct RouteLatency {
    weights: Vec<f64>,
    total: f64,
}

impl Default for RouteLatency {
    fn default() -> Self {
        Self {
            weights: vec![0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl RouteLatency {
    /// Adds the time until a call was answered.
    pub fn record(&mut self, latency: Duration) {
        self.weights[bucket_index(latency)] += 1.0;
        self.total += 1.0;
        if self.total >= HALVING_WEIGHT {
            self.halve();
        }
    }

    /// Median; `None` while there are too few samples.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        (self.total >= MEDIAN_WEIGHT_MIN).then(|| self.quantile(0.5))
    }

    /// High quantile, after which a call may be hedged; `None` while there are too few samples.
    #[must_use]
    pub fn high_quantile(&self) -> Option<Duration> {
        (self.total >= HIGH_WEIGHT_MIN).then(|| self.quantile(HIGH_QUANTILE))
    }

    fn halve(&mut self) {
        for weight in &mut self.weights {
            *weight /= 2.0;
        }
        self.total /= 2.0;
    }

    fn quantile(&self, quantile: f64) -> Duration {
        let mut cumulative = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            cumulative += weight;
            if cumulative >= quantile * self.total {
                return upper_bound(index);
            }
        }
        upper_bound(BUCKETS - 1)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the buckets"
)]
fn bucket_index(latency: Duration) -> usize {
    let doublings = (latency.as_secs_f64() / FIRST_BUCKET_SECONDS).log2();
    let index = (doublings * BUCKETS_PER_DOUBLING).max(0.0) as usize;
    index.min(BUCKETS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "bucket numbers are small")]
fn upper_bound(index: usize) -> Duration {
    let doublings = (index + 1) as f64 / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(FIRST_BUCKET_SECONDS * doublings.exp2())
}
