//! A timeout that passes only while the process runs.

use lagoonshore_transport::running_timeout::running_timeout;
use rstest::rstest;
use std::{future, time::Duration};
use tokio::{sync::oneshot, time::Instant};

const LIMIT: Duration = Duration::from_millis(200);
/// Time in which the process does not run; it is longer than the limit.
const STOP_TIME: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn silence_while_the_process_runs_ends_at_the_limit() {
    let started = Instant::now();
    assert_eq!(running_timeout(LIMIT, future::pending::<()>()).await, None);
    let elapsed = started.elapsed();
    assert!((LIMIT..LIMIT * 3 / 2).contains(&elapsed), "{elapsed:?}");
}

/// Guards against a node that concludes from silence in a time in which it did not run itself.
#[rstest]
#[case::at_the_start(0)]
#[case::late(LIMIT.as_millis() - 10)]
#[tokio::test(start_paused = true)]
async fn what_arrives_after_the_process_was_stopped_is_received(#[case] stopped_after_ms: u128) {
    let (sender, receiver) = oneshot::channel();
    let waiting = tokio::spawn(running_timeout(LIMIT, receiver));
    tokio::task::yield_now().await;
    let before = Duration::from_millis(u64::try_from(stopped_after_ms).expect("a short time"));
    tokio::time::sleep(before).await;
    tokio::time::advance(STOP_TIME).await;
    // The task that receives replies runs after the timers.
    tokio::time::sleep(Duration::from_millis(5)).await;
    sender.send(7).expect("it still waits");
    assert_eq!(waiting.await.expect("no panic"), Some(Ok(7)));
}

/// Guards against a timeout that never ends on a busy machine.
#[tokio::test(start_paused = true)]
async fn silence_of_a_process_that_always_runs_late_ends() {
    let waiting = tokio::spawn(running_timeout(LIMIT, future::pending::<()>()));
    let started = Instant::now();
    while !waiting.is_finished() {
        tokio::time::advance(LIMIT / 2).await;
        tokio::task::yield_now().await;
        assert!(started.elapsed() < LIMIT * 10, "it ends");
    }
    assert!(started.elapsed() > LIMIT * 2);
}
