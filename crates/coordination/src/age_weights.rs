//! Weights of observations by their age.

use std::time::Duration;
use tokio::time::Instant;

/// Returns the age of a value recorded at `then` as a share of `time`, at most 1.
pub(crate) fn age_share(now: Instant, then: Instant, time: Duration) -> f64 {
    let age = now.saturating_duration_since(then);
    (age.as_secs_f64() / time.as_secs_f64()).min(1.0)
}

/// Returns the weight left of a value recorded at `then`: 0.5 after one `half_life`.
pub(crate) fn decay_factor(now: Instant, then: Instant, half_life: Duration) -> f64 {
    let age = now.saturating_duration_since(then);
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
