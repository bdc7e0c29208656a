//! The planned stop of a node.

use crate::{events, lifecycle::node_lifecycle, node::SharedNode};

use lagoonshore_coordination::lifecycle::drain_state::DrainCause;
use std::time::Duration;
use tracing::{info, warn};

/// Grace beyond the longest timeout of any policy for requests in progress to end.
const STOP_GRACE: Duration = Duration::from_secs(30);
/// Interval between checks for requests in progress.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for callers to read their last responses.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the last replies to other nodes to be flushed.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Refuses new requests, waits for requests in progress until their deadlines, then until every
/// response is written.
pub async fn run(node: &SharedNode) {
    node.protection.close_signal.trigger();
    node_lifecycle::add_drain_cause(node, DrainCause::PlannedStop);
    let longest = longest_timeout(node) + STOP_GRACE;
    let finished = wait_until(longest, || is_idle(node)).await;
    let written = wait_until(WRITE_TIMEOUT, || {
        node.protection.close_signal.unfinished_connections() == 0
    })
    .await;
    actix_rt::time::sleep(FLUSH_TIME).await;
    let ended = node.drain.borrow_mut().finish();
    if let Err(error) = ended {
        warn!(event = events::DRAIN_FINISHED, fault = %error, "drain: cannot be finished");
    }
    info!(
        event = events::DRAIN_FINISHED,
        finished, written, "drain: finished"
    );
}

/// The class timeout bounds the deadline of every request, so the longest one bounds the stop.
fn longest_timeout(node: &SharedNode) -> Duration {
    let policies = node.policies.borrow();
    let classes = policies.iter().flat_map(|(_, entry)| &entry.policy.classes);
    classes.map(|class| class.timeout).max().unwrap_or_default()
}

async fn wait_until(longest: Duration, holds: impl Fn() -> bool) -> bool {
    let waiting = async {
        while !holds() {
            actix_rt::time::sleep(STOP_POLL_INTERVAL).await;
        }
    };
    actix_rt::time::timeout(longest, waiting).await.is_ok()
}

fn is_idle(node: &SharedNode) -> bool {
    let load = node.gate.load();
    load.in_progress == 0
        && load.queued == 0
        && node.calls.borrow().is_empty()
        && node.protection.active.get() == 0
}
