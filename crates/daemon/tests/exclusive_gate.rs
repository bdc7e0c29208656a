//! Exclusive permits block shared ones for a bounded share of the time only.
//!
//! Suspects that wait one after another for an exclusive permit, and time out behind a long
//! request, would otherwise block all other requests without running themselves.

use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_daemon::node::exclusive_gate::{ExclusiveGate, RunPermit};
use std::time::Duration;
use tokio::time::Instant;

/// Wait for an exclusive permit that times out because a shared one is held.
const SHORT_WAIT: Duration = Duration::from_millis(50);
/// Wait longer than the test runs.
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
        "the next exclusive wait must not block shared permits at once"
    );
    drop((long_running, concurrent));
    assert!(
        waiting.await.expect("the waiting task ends"),
        "the next exclusive wait gets its permit"
    );
}
