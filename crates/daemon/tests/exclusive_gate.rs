//! Exclusive passes hold others back for a bounded share of the time.

use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_daemon::protection::exclusive_gate::{ExclusiveGate, RunPermit};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an exclusive pass is waited for in vain.
const VAIN_WAIT: Duration = Duration::from_millis(50);
/// Time beyond everything that the test waits for.
const LONG_WAIT: Duration = Duration::from_secs(30);

#[actix_rt::test]
async fn a_vain_wait_for_an_exclusive_pass_leaves_time_for_others() {
    let gate = ExclusiveGate::default();
    let long_work = gate.acquire_shared(Instant::now() + LONG_WAIT).await;
    let vain = gate.acquire_exclusive(Instant::now() + VAIN_WAIT).await;
    assert_eq!(vain.err(), Some(RefusalReason::Timeout));
    let next = gate.clone();
    let waiting = actix_rt::spawn(async move {
        let pass = next.acquire_exclusive(Instant::now() + LONG_WAIT).await;
        matches!(pass, Ok(RunPermit::Exclusive(_)))
    });
    tokio::task::yield_now().await;
    let beside = gate.acquire_shared(Instant::now() + VAIN_WAIT).await;
    assert!(
        matches!(beside, Ok(RunPermit::Shared(_))),
        "the next suspect holds others back at once"
    );
    drop((long_work, beside));
    assert!(
        waiting.await.expect("the waiting task ends"),
        "the next suspect has its turn"
    );
}
