//! Probes the health endpoint of the upstream and applies changes of its health.

use crate::{
    events,
    lifecycle::{node_lifecycle, upstream_probe::probe},
    node::SharedNode,
    protection::crash_response,
};

use lagoonshore_coordination::{
    lifecycle::drain_state::DrainCause,
    protection::upstream_health::{DispatchResult, HealthChange},
};
use rand::Rng;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// Mean interval between probes; each interval is drawn from 0.5 to 1.5 times this.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Probes until the future is dropped.
pub async fn run(node: SharedNode) {
    loop {
        let result = probe(&node).await;
        let change = node
            .protection
            .health
            .borrow_mut()
            .record_probe(Instant::now(), result);
        apply_change(&node, change);
        let factor = node.random.borrow_mut().random_range(0.5..1.5);
        actix_rt::time::sleep(PROBE_INTERVAL.mul_f64(factor)).await;
    }
}

/// Records what the dispatch of a request showed about the health of the upstream.
pub fn record_dispatch(node: &SharedNode, result: DispatchResult) {
    let mut health = node.protection.health.borrow_mut();
    let change = health.record_dispatch(Instant::now(), result);
    drop(health);
    apply_change(node, change);
}

fn apply_change(node: &SharedNode, change: Option<HealthChange>) {
    match change {
        Some(HealthChange::DrainBegan) => {
            node_lifecycle::add_drain_cause(node, DrainCause::UpstreamLeaving);
        }
        Some(HealthChange::DrainEnded) => {
            node_lifecycle::remove_drain_cause(node, DrainCause::UpstreamLeaving);
        }
        Some(HealthChange::WentDown) => handle_upstream_down(node),
        Some(HealthChange::ColdStart) => handle_cold_start(node),
        None => {}
    }
}

fn handle_upstream_down(node: &SharedNode) {
    warn!(event = events::UPSTREAM_DOWN, "upstream: down");
    let reports = crash_response::count_abandoned(node);
    if !reports.is_empty() {
        let node = node.clone();
        actix_rt::spawn(async move { crash_response::report_to_peers(&node, reports).await });
    }
}

fn handle_cold_start(node: &SharedNode) {
    info!(event = events::UPSTREAM_COLD_START, "upstream: cold start");
    node_lifecycle::remove_drain_cause(node, DrainCause::UpstreamLeaving);
    node.protection.notify_cold_start(Instant::now());
}
