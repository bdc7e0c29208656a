//! Counts the requests that were in progress when the upstream crashed, and tells other nodes.

use crate::{events, health_probe, node::SharedNode};

use futures::future::join_all;
use lagoonshore_coordination::{
    crash_watch::UpstreamSign,
    fingerprint::RequestFingerprint,
    suspects::SuspectReport,
    upstream_health::{HandOverSign, ProbeResult},
};
use lagoonshore_transport::TransportError;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;
use tracing::warn;

/// Time for the losses of one crash to be noticed.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Time for other nodes to learn of a suspect before its caller gets an answer and resends it.
const TELL_TIME: Duration = Duration::from_millis(300);
/// Nodes that are told at once; the others learn by digest.
const TOLD_MAX: usize = 32;

/// `HandOverMark` follows one request at the upstream. Dropped before its end was noted, it
/// counts as given up.
pub struct HandOverMark {
    node: SharedNode,
    fingerprint: RequestFingerprint,
    is_open: bool,
}

impl HandOverMark {
    /// Notes a hand-over.
    #[must_use]
    pub fn open(node: &SharedNode, fingerprint: RequestFingerprint) -> Self {
        node.guard.crashes.borrow_mut().handed_over();
        Self {
            node: node.clone(),
            fingerprint,
            is_open: true,
        }
    }

    /// Notes a whole answer: the upstream is alive and the request is cleared.
    pub fn answered(mut self) {
        self.is_open = false;
        let guard = &self.node.guard;
        guard.crashes.borrow_mut().answered();
        guard.suspects.borrow_mut().finished(self.fingerprint);
        health_probe::note_hand_over(&self.node, HandOverSign::Answered);
    }

    /// Notes that no whole answer came. Returns once a crash, if it was one, is counted and other
    /// nodes were told; that goes on also if the caller leaves meanwhile. `held` is dropped as
    /// soon as the crash is counted.
    pub async fn failed<H: 'static>(mut self, fault: &TransportError, held: H) {
        match fault {
            TransportError::Connect { .. } => {
                self.is_open = false;
                self.node.guard.crashes.borrow_mut().taken_back();
                health_probe::note_hand_over(&self.node, HandOverSign::Refused);
            }
            TransportError::TimedOut { .. } => {}
            _ => {
                self.is_open = false;
                let (node, fingerprint) = (self.node.clone(), self.fingerprint);
                node.guard.crashes.borrow_mut().lost(Instant::now());
                // A task that was not cancelled ends without an error.
                let _ = actix_rt::spawn(follow_loss(node, fingerprint, held)).await;
            }
        }
    }
}

impl Drop for HandOverMark {
    fn drop(&mut self) {
        if self.is_open {
            let mut crashes = self.node.guard.crashes.borrow_mut();
            crashes.given_up(Instant::now(), self.fingerprint);
        }
    }
}

async fn follow_loss<H>(node: SharedNode, fingerprint: RequestFingerprint, held: H) {
    actix_rt::time::sleep(SETTLE_TIME).await;
    let sign = match health_probe::probe(&node).await {
        ProbeResult::Refused => UpstreamSign::Refuses,
        _ => UpstreamSign::Accepts,
    };
    let is_crash = node.guard.crashes.borrow_mut().judge(fingerprint, sign);
    let mut reports = Vec::new();
    if is_crash {
        reports.push(count(&node, fingerprint));
    }
    if sign == UpstreamSign::Refuses {
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
        .take_lingering(Instant::now());
    let counted = lingering.into_iter();
    counted
        .map(|fingerprint| count(node, fingerprint))
        .collect()
}

fn count(node: &SharedNode, fingerprint: RequestFingerprint) -> SuspectReport {
    let mut suspects = node.guard.suspects.borrow_mut();
    let report = suspects.crashed(Instant::now(), fingerprint);
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
        let told = node.links.tell_suspects(address, reports.clone(), deadline);
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
