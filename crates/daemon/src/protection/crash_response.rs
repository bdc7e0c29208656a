//! Counts the requests that were in progress when the upstream crashed, and tells other nodes.

use crate::{node::SharedNode, observation::events, protection::upstream_probe};

use futures::future::join_all;
use lagoonshore_coordination::protection::{
    crash_detector::ReconnectResult, fingerprint::RequestFingerprint, suspects::SuspectReport,
    upstream_health::ProbeResult,
};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;
use tracing::warn;

/// Time for the losses of one crash to be noticed.
const LOSS_WAIT_TIME: Duration = Duration::from_millis(20);
/// Time for other nodes to learn of a suspect before its caller gets an answer and resends it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Nodes that are told at once; the others learn by digest.
const REPORTED_PEERS_MAX: usize = 32;

/// Finds out whether the upstream crashed as it lost a request, and tells the other nodes if so. `held`
/// is dropped as soon as the crash is counted.
pub(crate) async fn check_for_crash<H>(
    node: SharedNode,
    fingerprint: RequestFingerprint,
    permit: H,
) {
    actix_rt::time::sleep(LOSS_WAIT_TIME).await;
    let result = match upstream_probe::probe(&node).await {
        ProbeResult::Refused => ReconnectResult::Refused,
        _ => ReconnectResult::Accepted,
    };
    let is_crash = node
        .protection
        .crashes
        .borrow_mut()
        .count_crash(fingerprint, result);
    let mut reports = Vec::new();
    if is_crash {
        reports.push(count_suspect(&node, fingerprint));
    }
    if result == ReconnectResult::Refused {
        reports.extend(count_abandoned(&node));
    }
    drop(permit);
    report_to_peers(&node, reports).await;
}

/// Counts the requests that were given up shortly before the upstream was seen to be down.
pub fn count_abandoned(node: &SharedNode) -> Vec<SuspectReport> {
    let abandoned = node
        .protection
        .crashes
        .borrow_mut()
        .take_abandoned(Instant::now());
    let fingerprints = abandoned.into_iter();
    fingerprints
        .map(|fingerprint| count_suspect(node, fingerprint))
        .collect()
}

fn count_suspect(node: &SharedNode, fingerprint: RequestFingerprint) -> SuspectReport {
    let mut suspects = node.protection.suspects.borrow_mut();
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
pub async fn report_to_peers(node: &SharedNode, reports: Vec<SuspectReport>) {
    if reports.is_empty() {
        return;
    }
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let reporting = service_peers(node).into_iter().map(|address| {
        let reported = node
            .links
            .report_suspects(address, reports.clone(), deadline);
        tokio::time::timeout_at(deadline, reported)
    });
    // A node that cannot be told now learns by digest or from the calling node.
    let replies = join_all(reporting).await.into_iter().flatten().flatten();
    merge(node, replies.flatten());
}

/// Takes in reports of other nodes.
pub fn merge(node: &SharedNode, reports: impl IntoIterator<Item = SuspectReport>) {
    let mut suspects = node.protection.suspects.borrow_mut();
    for report in reports {
        suspects.merge(Instant::now(), report);
    }
}

fn service_peers(node: &SharedNode) -> Vec<SocketAddr> {
    let table = node.instances.borrow();
    let others = table
        .of_service(&node.settings.service)
        .filter(|(_, record)| record.name != node.settings.instance);
    others
        .map(|(_, record)| record.peer)
        .take(REPORTED_PEERS_MAX)
        .collect()
}
