//! Counts the requests that were in progress when the upstream crashed and reports them to other
//! nodes.

use crate::{events, lifecycle::upstream_probe, node::SharedNode};

use futures::future::join_all;
use lagoonshore_coordination::protection::{
    crash_detector::ReconnectResult,
    crash_set::CrashId,
    fingerprint::{self, RequestFingerprint},
    suspects::SuspectReport,
    upstream_health::ProbeResult,
};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;
use tracing::warn;

/// Wait after a lost request, so that all losses of one crash are recorded before it is evaluated.
const LOSS_WAIT_TIME: Duration = Duration::from_millis(20);
/// Timeout for reporting suspects to other nodes. The reports are sent before the caller gets its
/// response, so that a retry elsewhere finds the suspect known.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of nodes that get a report directly; the others learn of it by digest.
const REPORTED_PEERS_MAX: usize = 32;

/// Probes whether the upstream crashed when it lost a request; if so, counts the suspects and
/// reports them to other nodes. `permit` is dropped as soon as the crash is counted.
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
        reports.extend(count_suspect(&node, fingerprint));
    }
    if result == ReconnectResult::Refused {
        reports.extend(count_abandoned(&node));
    }
    drop(permit);
    report_to_peers(&node, reports).await;
}

/// Counts the requests that were abandoned shortly before the upstream was found to be down.
pub fn count_abandoned(node: &SharedNode) -> Vec<SuspectReport> {
    let abandoned = node
        .protection
        .crashes
        .borrow_mut()
        .take_abandoned(Instant::now());
    let fingerprints = abandoned.into_iter();
    fingerprints
        .filter_map(|fingerprint| count_suspect(node, fingerprint))
        .collect()
}

fn count_suspect(node: &SharedNode, fingerprint: RequestFingerprint) -> Option<SuspectReport> {
    let (now, crash) = (Instant::now(), latest_crash(node));
    let mut suspects = node.protection.suspects.borrow_mut();
    let count = suspects.record_crash(now, fingerprint, crash);
    warn!(
        event = events::SUSPECT_RECORDED,
        fingerprint = format!("{fingerprint:016x}"),
        crash = crash.number,
        crashes = count.crashes,
        is_cleared = count.is_cleared,
        "suspects: crash recorded"
    );
    suspects.report(now, fingerprint)
}

/// Id of the latest crash of the local upstream.
fn latest_crash(node: &SharedNode) -> CrashId {
    let number = node.protection.crashes.borrow().crash_number();
    // The numbers of each run of the node start at another one.
    #[allow(clippy::cast_possible_truncation)]
    let first = node.incarnation as u32;
    CrashId {
        instance: fingerprint::of_instance(&node.settings.instance),
        number: Some(first.wrapping_add(number)),
    }
}

/// Reports suspects to the other nodes of the same service and merges the reports that they return.
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
    // A node that does not answer in time learns of the suspects by digest or from a calling node.
    let replies = join_all(reporting).await.into_iter().flatten().flatten();
    merge(node, replies.flatten());
}

/// Merges reports of other nodes.
pub fn merge(node: &SharedNode, reports: impl IntoIterator<Item = SuspectReport>) {
    let mut suspects = node.protection.suspects.borrow_mut();
    for report in reports {
        suspects.merge(Instant::now(), &report);
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
