//! Slow start: a peer that is new, or was ejected, takes a share of calls that rises with time.

use std::time::Duration;
use tokio::time::Instant;

/// Time until a peer takes its whole share.
const WARMING_TIME: Duration = Duration::from_secs(5);
/// Share at the start.
const FIRST_SHARE: f64 = 0.1;

/// Share of its calls that a peer takes which has been warming since `since`.
#[must_use]
pub fn share(now: Instant, since: Instant) -> f64 {
    let age = now.saturating_duration_since(since);
    let progress = age.as_secs_f64() / WARMING_TIME.as_secs_f64();
    (FIRST_SHARE + (1.0 - FIRST_SHARE) * progress).min(1.0)
}
