//! Slow start: a new peer, or one whose ejection has ended, gets a share of calls that rises
//! linearly with time.

use std::time::Duration;
use tokio::time::Instant;

/// Time until a peer gets its full share of calls.
const WARMING_TIME: Duration = Duration::from_secs(5);
/// Share at the start of slow start.
const INITIAL_SHARE: f64 = 0.1;

/// Returns the share of calls for a peer that started warming up at `since`; 1 once slow start is
/// over.
#[must_use]
pub fn share(now: Instant, since: Instant) -> f64 {
    let age = now.saturating_duration_since(since);
    let progress = age.as_secs_f64() / WARMING_TIME.as_secs_f64();
    (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress).min(1.0)
}
