//! Probes the health endpoint of the upstream and acts on changes.

use crate::{
    guards::{crash_response, upstream_probe::probe},
    life::life_cycle,
    node::SharedNode,
    observation::events,
};

use lagoonshore_coordination::{
    lifecycle::drain::DrainCause,
    protection::upstream_health::{DispatchResult, HealthChange},
};
use rand::Rng;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// Mean time between two probes; each is drawn around it.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Probes until the future is dropped.
pub async fn run(node: SharedNode) {
    loop {
        let result = probe(&node).await;
        let change = node
            .guard
            .health
            .borrow_mut()
            .record_probe(Instant::now(), result);
        act(&node, change);
        let factor = node.random.borrow_mut().random_range(0.5..1.5);
        actix_rt::time::sleep(PROBE_PAUSE.mul_f64(factor)).await;
    }
}

/// Takes in what an own hand-over showed of the upstream.
pub fn note_hand_over(node: &SharedNode, sign: DispatchResult) {
    let mut health = node.guard.health.borrow_mut();
    let change = health.record_dispatch(Instant::now(), sign);
    drop(health);
    act(node, change);
}

fn act(node: &SharedNode, change: Option<HealthChange>) {
    match change {
        Some(HealthChange::DrainBegan) => life_cycle::begin(node, DrainCause::UpstreamLeaving),
        Some(HealthChange::DrainEnded) => life_cycle::withdraw(node, DrainCause::UpstreamLeaving),
        Some(HealthChange::WentDown) => go_down(node),
        Some(HealthChange::ColdStart) => start_cold(node),
        None => {}
    }
}

fn go_down(node: &SharedNode) {
    warn!(event = events::UPSTREAM_DOWN, "upstream: down");
    let reports = crash_response::count_lingering(node);
    if !reports.is_empty() {
        let node = node.clone();
        actix_rt::spawn(async move { crash_response::tell(&node, reports).await });
    }
}

fn start_cold(node: &SharedNode) {
    info!(event = events::UPSTREAM_COLD_START, "upstream: cold start");
    life_cycle::withdraw(node, DrainCause::UpstreamLeaving);
    node.guard.cold_started(Instant::now());
}
