//! Exclusive passes hold others back for a bounded share of the time.

use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_daemon::protection::exclusive_gate::{ExclusiveGate, RunPermit};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an exclusive pass is waited for in vain.
const SHORT_WAIT: Duration = Duration::from_millis(50);
/// Time beyond everything that the test waits for.
const LONG_WAIT: Duration = Duration::from_secs(30);

#[actix_rt::test]
async fn a_timed_out_wait_for_an_exclusive_permit_leaves_time_for_shared_ones() {
    let gate = ExclusiveGate::default();
    let long_running = gate.acquire_shared(Instant::now() + LONG_WAIT).await;
    let timed_out = gate.acquire_exclusive(Instant::now() + SHORT_WAIT).await;
    assert_eq!(timed_out.err(), Some(RefusalReason::Timeout));
    let next = gate.clone();
    let waiting = actix_rt::spawn(async move {
        let permit = next.acquire_exclusive(Instant::now() + LONG_WAIT).await;
        matches!(permit, Ok(RunPermit::Exclusive(_)))
    });
    tokio::task::yield_now().await;
    let concurrent = gate.acquire_shared(Instant::now() + SHORT_WAIT).await;
    assert!(
        matches!(concurrent, Ok(RunPermit::Shared(_))),
        "the next suspect holds others back at once"
    );
    drop((long_running, concurrent));
    assert!(
        waiting.await.expect("the waiting task ends"),
        "the next suspect has its turn"
    );
}
