//! Moves the node through its lifecycle and publishes changes to the nodes that call it.

use crate::{events, lifecycle::upstream_probe, node::SharedNode};

use lagoonshore_coordination::{
    lifecycle::{
        drain_state::DrainCause,
        pause_detector::{PauseDetector, TICK_INTERVAL},
    },
    protection::upstream_health::ProbeResult,
    request::outcome::RefusalReason,
};
use lagoonshore_state::instance_table::{InstanceRecord, InstanceState};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;
use tracing::{info, warn};

/// Time after a pause during which requests from the process's socket buffers are read and refused.
const RESUME_TIME: Duration = Duration::from_millis(200);
/// Probes of the upstream after a pause; the node serves again after the last one, whatever its
/// result.
const RESUME_PROBES_MAX: u32 = 3;

/// Starts to serve requests and to track which peers are leaving.
pub fn start_serving(node: &SharedNode) {
    // Opening the listeners a second time leaves the lifecycle unchanged.
    let _ = node.drain.borrow_mut().start_serving();
    track_leaving_peers(node);
    publish(node);
}

/// Refuses new requests because of `cause` and publishes that the node is leaving.
pub fn add_drain_cause(node: &SharedNode, cause: DrainCause) {
    let has_changed = node.drain.borrow_mut().add_cause(cause);
    if has_changed {
        let in_progress = node.gate.load().in_progress;
        info!(
            event = events::DRAIN_STARTED,
            ?cause,
            in_progress,
            "drain: started"
        );
    }
    publish(node);
}

/// Removes `cause`; the node serves again once no cause is left.
pub fn remove_drain_cause(node: &SharedNode, cause: DrainCause) {
    let has_changed = node.drain.borrow_mut().remove_cause(cause);
    if has_changed {
        info!(event = events::DRAIN_CANCELLED, ?cause, "drain: cancelled");
    }
    publish(node);
}

/// Reason why new requests are refused; `None` while the node serves. A process that has just
/// resumed from a pause does not know what it missed and refuses until [`watch_pauses`] has
/// checked.
#[must_use]
pub fn refusal(node: &SharedNode) -> Option<RefusalReason> {
    let is_overdue = node.protection.pause.borrow().is_overdue(Instant::now());
    let refusal = node.drain.borrow().refusal();
    refusal.or_else(|| is_overdue.then_some(RefusalReason::Stale))
}

/// Applies an entry of the platform's list. For this node, the listed state starts or ends a drain.
/// Another instance at a new address has restarted and no longer counts as leaving.
pub fn apply_listed_instance(node: &SharedNode, record: &InstanceRecord) {
    if record.name == node.settings.instance {
        match record.state {
            InstanceState::Leaving => add_drain_cause(node, DrainCause::PlatformLeaving),
            InstanceState::Live => remove_drain_cause(node, DrainCause::PlatformLeaving),
        }
        return;
    }
    let table = node.instances.borrow();
    let known = table.find(&record.name);
    let moved = known.filter(|key| table.get(*key).is_some_and(|held| held.peer != record.peer));
    if let Some(key) = moved {
        node.selector.borrow_mut().set_leaving(key, false);
    }
}

/// Detects pauses of the process until the future is dropped.
pub async fn watch_pauses(node: SharedNode) {
    loop {
        let was_paused = node.protection.pause.borrow_mut().tick(Instant::now());
        if was_paused {
            recover_from_pause(&node).await;
            *node.protection.pause.borrow_mut() = PauseDetector::default();
        }
        actix_rt::time::sleep(TICK_INTERVAL).await;
    }
}

/// Refuses new requests until the buffered ones are read and a probe of the upstream is conclusive,
/// for at most `RESUME_PROBES_MAX` probes.
async fn recover_from_pause(node: &SharedNode) {
    warn!(
        event = events::PROCESS_PAUSED,
        "node: resumed after a pause"
    );
    add_drain_cause(node, DrainCause::ProcessPaused);
    actix_rt::time::sleep(RESUME_TIME).await;
    for _ in 0..RESUME_PROBES_MAX {
        if upstream_probe::probe(node).await != ProbeResult::Unclear {
            break;
        }
    }
    remove_drain_cause(node, DrainCause::ProcessPaused);
}

/// Marks peers that report that they are leaving, so that they get no new calls from this node.
fn track_leaving_peers(node: &SharedNode) {
    let followed = Rc::downgrade(node);
    node.links.on_leaving(Rc::new(move |address, is_leaving| {
        if let Some(node) = followed.upgrade() {
            mark_peer_leaving(&node, address, is_leaving);
        }
    }));
}

fn mark_peer_leaving(node: &SharedNode, address: SocketAddr, is_leaving: bool) {
    let table = node.instances.borrow();
    let found = table.iter().find(|(_, record)| record.peer == address);
    if let Some((key, _)) = found {
        node.selector.borrow_mut().set_leaving(key, is_leaving);
    }
}

fn publish(node: &SharedNode) {
    let is_leaving = node.drain.borrow().is_draining();
    node.protection.leaving.send_if_modified(|held| {
        let before = std::mem::replace(held, is_leaving);
        before != is_leaving
    });
}
