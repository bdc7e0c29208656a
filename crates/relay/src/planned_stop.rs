//! Leaving without harm: callers are sent away, what was read is finished, then the process ends.

use crate::{events, http1::server::ServerPhase, node::RelayNode};

use lagoonshore_coordination::forwarding::stop_schedule::StopSchedule;
use std::time::Duration;
use tokio::time::Instant;
use tracing::info;

/// Answers of the readiness check that take callers away.
const NOTICES: u32 = 2;
/// Time from the last of them until callers are gone.
const NOTICE_MARGIN: Duration = Duration::from_millis(100);
/// Time in which other nodes learn that the node leaves. Its upstream goes on serving them until
/// then, since no other upstream is spared by sending them away sooner.
const PEER_NOTICE_TIME: Duration = Duration::from_millis(250);
/// Time between two looks at what still runs.
const LOOK_TIME: Duration = Duration::from_millis(50);
/// Time in which last answers leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Stops `node`; returns when the process may end.
pub async fn run(node: &RelayNode) {
    let started = Instant::now();
    info!(
        event = events::RELAY_STOPPING,
        calls = node.callers.caller().running(),
        served = node.server.running(),
        "relay: stopping"
    );
    node.ready.begin_leaving();
    node.callers.set_phase(ServerPhase::Closing);
    let schedule = StopSchedule::new(node.settings.grace_time);
    let end = started + schedule.end_at;
    while started.elapsed() < schedule.notice_end && node.ready.refusals() < NOTICES {
        actix_rt::time::sleep(LOOK_TIME).await;
    }
    actix_rt::time::sleep(NOTICE_MARGIN).await;
    node.callers.set_phase(ServerPhase::ClosingIdle);
    node.server.start_draining();
    actix_rt::time::sleep(PEER_NOTICE_TIME).await;
    while Instant::now() < end && !is_idle(node) {
        if started.elapsed() >= schedule.refuse_at {
            refuse_all(node);
        }
        actix_rt::time::sleep(LOOK_TIME).await;
    }
    // What comes from here on would be cut by the end of the process. Until now callers were served:
    // some find no other node.
    node.callers.set_phase(ServerPhase::Closed);
    refuse_all(node);
    actix_rt::time::sleep(FLUSH_TIME).await;
    while Instant::now() < end && !is_idle(node) {
        actix_rt::time::sleep(LOOK_TIME).await;
    }
    let is_finished = is_idle(node);
    info!(
        event = events::RELAY_STOPPED,
        is_finished,
        calls = node.callers.caller().running(),
        served = node.server.running(),
        "relay: stopped"
    );
}

fn refuse_all(node: &RelayNode) {
    node.callers.end();
    node.server.close();
}

fn is_idle(node: &RelayNode) -> bool {
    let has_callers = node.caller_connections.get() > 0;
    !has_callers && node.callers.caller().running() == 0 && node.server.running() == 0
}
