//! A timeout that passes only while the own process runs.
//!
//! A process that waits for a processor, or is stopped for a while, receives nothing meanwhile, so that
//! silence in that time says nothing about another node. The time is counted in ticks: one that comes late
//! counts no more than one that comes when it is due.

use std::{future::Future, pin::pin, time::Duration};
use tokio::time::Instant;

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time from which a tick is late.
const TICK_LATE: Duration = Duration::from_millis(40);

/// Waits for `future` until the process has run for `limit`; `None` if it is not ready by then. What arrived
/// while the process did not run is received before.
pub async fn running_timeout<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    let mut counted = Duration::ZERO;
    let mut is_late = false;
    while counted < limit || is_late {
        let is_last = counted >= limit;
        let started = Instant::now();
        let waiting = tokio::time::timeout(TICK_INTERVAL, &mut future);
        if let Ok(output) = waiting.await {
            return Some(output);
        }
        if is_last {
            return None;
        }
        let elapsed = started.elapsed();
        counted += elapsed.min(TICK_INTERVAL);
        is_late = elapsed >= TICK_LATE;
    }
    None
}
