//! Takes the node through its life cycle and tells the nodes that follow it.

use crate::{node::SharedNode, observation::events, protection::upstream_probe};

use lagoonshore_coordination::{
    lifecycle::{
        drain::DrainCause,
        pause_detector::{PauseDetector, TICK_INTERVAL},
    },
    protection::upstream_health::ProbeResult,
    request::outcome::RefusalReason,
};
use lagoonshore_state::instance_table::{InstanceRecord, InstanceState};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;
use tracing::{info, warn};

/// Time after a pause in which what lies in the buffers of the process is read and refused.
const RESUME_TIME: Duration = Duration::from_millis(200);
/// Probes of the upstream after a pause before the node serves in any case.
const RESUME_PROBES_MAX: u32 = 3;

/// Starts to serve.
pub fn start_serving(node: &SharedNode) {
    // Doors opened a second time leave the life cycle as it is.
    let _ = node.drain.borrow_mut().start_serving();
    track_leaving_peers(node);
    publish(node);
}

/// Refuses new work for `cause` and tells the nodes that follow this one.
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

/// Withdraws `cause`; without any other the node serves again.
pub fn remove_drain_cause(node: &SharedNode, cause: DrainCause) {
    let has_changed = node.drain.borrow_mut().remove_cause(cause);
    if has_changed {
        info!(event = events::DRAIN_WITHDRAWN, ?cause, "drain: withdrawn");
    }
    publish(node);
}

/// Why new work is refused; `None` while the node serves. A process that has just woken from a
/// pause does not know yet what happened meanwhile, and refuses.
#[must_use]
pub fn refusal(node: &SharedNode) -> Option<RefusalReason> {
    let is_overdue = node.protection.pause.borrow().is_overdue(Instant::now());
    let refusal = node.drain.borrow().refusal();
    refusal.or_else(|| is_overdue.then_some(RefusalReason::Stale))
}

/// Takes in an entry of the platform's list: the own state, or the new address of another
/// instance, whose leaving is then a thing of the past.
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

/// Watches for pauses of the process until the future is dropped.
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

/// Refuses work until what was buffered is read and the upstream was seen again.
async fn recover_from_pause(node: &SharedNode) {
    warn!(event = events::PROCESS_PAUSED, "node: woke from a pause");
    add_drain_cause(node, DrainCause::ProcessPaused);
    actix_rt::time::sleep(RESUME_TIME).await;
    for _ in 0..RESUME_PROBES_MAX {
        if upstream_probe::probe(node).await != ProbeResult::Unclear {
            break;
        }
    }
    remove_drain_cause(node, DrainCause::ProcessPaused);
}

/// Marks nodes that say they are leaving, so that they get no new work from this one.
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
