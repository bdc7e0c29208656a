//! Counts the requests that were in progress when the upstream crashed, and tells other nodes.

use crate::{guards::upstream_probe, node::SharedNode, observation::events};

use futures::future::join_all;
use lagoonshore_coordination::protection::{
    crash_detector::ReconnectResult, fingerprint::RequestFingerprint, suspects::SuspectReport,
    upstream_health::ProbeResult,
};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;
use tracing::warn;

/// Time for the losses of one crash to be noticed.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Time for other nodes to learn of a suspect before its caller gets an answer and resends it.
const TELL_TIME: Duration = Duration::from_millis(300);
/// Nodes that are told at once; the others learn by digest.
const TOLD_MAX: usize = 32;

/// Finds out whether the upstream crashed as it lost a request, and tells the other nodes if so. `held`
/// is dropped as soon as the crash is counted.
pub(crate) async fn follow_loss<H>(node: SharedNode, fingerprint: RequestFingerprint, held: H) {
    actix_rt::time::sleep(SETTLE_TIME).await;
    let sign = match upstream_probe::probe(&node).await {
        ProbeResult::Refused => ReconnectResult::Refused,
        _ => ReconnectResult::Accepted,
    };
    let is_crash = node
        .guard
        .crashes
        .borrow_mut()
        .count_crash(fingerprint, sign);
    let mut reports = Vec::new();
    if is_crash {
        reports.push(count(&node, fingerprint));
    }
    if sign == ReconnectResult::Refused {
        reports.extend(count_lingering(&node));
    }
    drop(held);
    tell(&node, reports).await;
}

/// Counts the requests that were given up shortly before the upstream was seen to be down.
pub fn count_lingering(node: &SharedNode) -> Vec<SuspectReport> {
    let lingering = node
        .guard
        .crashes
        .borrow_mut()
        .take_abandoned(Instant::now());
    let counted = lingering.into_iter();
    counted
        .map(|fingerprint| count(node, fingerprint))
        .collect()
}

fn count(node: &SharedNode, fingerprint: RequestFingerprint) -> SuspectReport {
    let mut suspects = node.guard.suspects.borrow_mut();
    let report = suspects.record_crash(Instant::now(), fingerprint);
    warn!(
        event = events::SUSPECT_COUNTED,
        fingerprint = format!("{fingerprint:016x}"),
        crashes = report.crashes,
        "suspects: counted"
    );
    report
}

/// Tells the other nodes of the own service, and takes in what they hold.
pub async fn tell(node: &SharedNode, reports: Vec<SuspectReport>) {
    if reports.is_empty() {
        return;
    }
    let deadline = Instant::now() + TELL_TIME;
    let telling = fellows(node).into_iter().map(|address| {
        let told = node
            .links
            .report_suspects(address, reports.clone(), deadline);
        tokio::time::timeout_at(deadline, told)
    });
    // A node that cannot be told now learns by digest or from the calling node.
    let replies = join_all(telling).await.into_iter().flatten().flatten();
    merge(node, replies.flatten());
}

/// Takes in reports of other nodes.
pub fn merge(node: &SharedNode, reports: impl IntoIterator<Item = SuspectReport>) {
    let mut suspects = node.guard.suspects.borrow_mut();
    for report in reports {
        suspects.merge(Instant::now(), report);
    }
}

fn fellows(node: &SharedNode) -> Vec<SocketAddr> {
    let table = node.instances.borrow();
    let others = table
        .of_service(&node.settings.service)
        .filter(|(_, record)| record.name != node.settings.instance);
    others
        .map(|(_, record)| record.peer)
        .take(TOLD_MAX)
        .collect()
}
