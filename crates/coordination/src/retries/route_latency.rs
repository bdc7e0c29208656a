//! The latencies of one route, as a histogram whose old samples lose weight.

use std::time::Duration;

/// Buckets for each doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Lower end of the first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.000_1;
/// Number of buckets; the last one ends above one hundred seconds.
const BUCKETS: usize = 168;
/// Weight of the samples at which all weights are halved.
const HALVE_AT_WEIGHT: f64 = 2000.0;
/// Weight of the samples from which the median is known.
const MEDIAN_WEIGHT_MIN: f64 = 5.0;
/// Weight of the samples from which the high quantile is known.
const HIGH_WEIGHT_MIN: f64 = 50.0;
/// Quantile after which a call is hedged (Dean and Barroso, "The Tail at Scale",
/// Communications of the ACM 56(2), 2013: hedge after the 95th percentile).
const HIGH_QUANTILE: f64 = 0.95;

/// `RouteLatency` learns how long the calls of one route take.
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
    /// Adds the time to an answer.
    pub fn record(&mut self, latency: Duration) {
        self.weights[bucket(latency)] += 1.0;
        self.total += 1.0;
        if self.total >= HALVE_AT_WEIGHT {
            self.halve();
        }
    }

    /// Median, once some samples are known.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        (self.total >= MEDIAN_WEIGHT_MIN).then(|| self.quantile(0.5))
    }

    /// High quantile after which a call may be hedged, once enough samples are known.
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
        let mut below = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            below += weight;
            if below >= quantile * self.total {
                return upper_end(index);
            }
        }
        upper_end(BUCKETS - 1)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the buckets"
)]
fn bucket(latency: Duration) -> usize {
    let doublings = (latency.as_secs_f64() / FIRST_BUCKET_SECONDS).log2();
    let index = (doublings * BUCKETS_PER_DOUBLING).max(0.0) as usize;
    index.min(BUCKETS - 1)
}

#[expect(clippy::cast_precision_loss, reason = "bucket numbers are small")]
fn upper_end(index: usize) -> Duration {
    let doublings = (index + 1) as f64 / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(FIRST_BUCKET_SECONDS * doublings.exp2())
}
