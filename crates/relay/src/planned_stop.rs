//! Graceful shutdown: the readiness check fails, connections are closed after their responses,
//! requests in progress are finished, and then the process exits.

use crate::{events, http1::server::ServerPhase, node::RelayNode};

use lagoonshore_coordination::forwarding::stop_schedule::StopSchedule;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// Failed readiness checks after which callers send no new requests.
const FAILED_CHECKS_MIN: u32 = 2;
/// Time from the last of these checks until callers have moved to other nodes.
const CALLER_MOVE_TIME: Duration = Duration::from_millis(100);
/// Time in which other nodes learn that the node is draining. The upstream keeps serving them
/// until then, because refusing them earlier would only move that load to other upstreams.
const PEER_NOTICE_TIME: Duration = Duration::from_millis(250);
/// Interval at which the requests in progress are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last responses to be written to their sockets.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Drains `node`; returns when the process may exit.
pub async fn run(node: &RelayNode) {
    let started = Instant::now();
    info!(
        event = events::RELAY_STOPPING,
        calls = node.callers.forwarder().running(),
        served = node.server.running(),
        "relay: stopping"
    );
    node.ready.start_draining();
    node.callers.set_phase(ServerPhase::Closing);
    let schedule = StopSchedule::new(node.settings.grace_time);
    let end = started + schedule.end_at;
    while started.elapsed() < schedule.notice_end && node.ready.refusals() < FAILED_CHECKS_MIN {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    actix_rt::time::sleep(CALLER_MOVE_TIME).await;
    node.callers.set_phase(ServerPhase::ClosingIdle);
    node.server.start_draining();
    actix_rt::time::sleep(PEER_NOTICE_TIME).await;
    while Instant::now() < end && !is_idle(node) {
        if started.elapsed() >= schedule.refuse_at {
            refuse_all(node);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    // Requests accepted from here on would be cut off by the exit of the process. Callers were
    // served until now because some of them find no other node.
    node.callers.set_phase(ServerPhase::Closed);
    refuse_all(node);
    actix_rt::time::sleep(FLUSH_TIME).await;
    while Instant::now() < end && !is_idle(node) {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let is_finished = is_idle(node);
    info!(
        event = events::RELAY_STOPPED,
        is_finished,
        calls = node.callers.forwarder().running(),
        served = node.server.running(),
        "relay: stopped"
    );
}

fn refuse_all(node: &RelayNode) {
    node.callers.start_refusing();
    node.server.start_refusing();
}

fn is_idle(node: &RelayNode) -> bool {
    let has_callers = node.caller_connections.get() > 0;
    !has_callers && node.callers.forwarder().running() == 0 && node.server.running() == 0
}
