//! Decides by the crash suspects whether and how a request may run.

use crate::node::{SharedNode, exclusive_gate::RunPermit};

use lagoonshore_coordination::{
    protection::{
        crash_set::{CrashId, CrashReport},
        fingerprint::{self, RequestFingerprint},
        suspects::{SuspectDecision, SuspectReport},
    },
    request::{outcome::RefusalReason, request_lifecycle::CallRefusal},
};
use lagoonshore_protocol::{
    headers,
    messages::{CallReply, CallRequest},
};
use lagoonshore_state::ids::InstanceName;
use tokio::time::Instant;

/// Fingerprint of a request.
#[must_use]
pub fn fingerprint(request: &CallRequest) -> RequestFingerprint {
    let key = headers::find(&request.headers, headers::IDEMPOTENCY_KEY);
    fingerprint::of_request(
        key,
        &request.service,
        &request.method,
        &request.path,
        &request.body,
    )
}

/// Merges the crashes that the calling node sent with a request.
pub fn merge_report(node: &SharedNode, fingerprint: RequestFingerprint, crashes: &[CrashReport]) {
    if crashes.is_empty() {
        return;
    }
    let report = SuspectReport {
        fingerprint,
        crashes: crashes.to_vec(),
    };
    let mut suspects = node.protection.suspects.borrow_mut();
    suspects.merge(Instant::now(), &report);
}

/// Merges the suspect report that the called node returned.
pub fn merge_reply(node: &SharedNode, reply: &CallReply) {
    if let Some(report) = &reply.suspect {
        let mut suspects = node.protection.suspects.borrow_mut();
        suspects.merge(Instant::now(), report);
    }
}

/// Records a crash for a call to `instance` whose connection was lost: the instance may have crashed
/// together with its upstream because of the call, so a retry must run alone.
pub fn record_lost_connection(
    node: &SharedNode,
    instance: &InstanceName,
    request: &CallRequest,
    refusal: CallRefusal,
) {
    if refusal.reason == RefusalReason::ConnectionLost {
        let crash = CrashId {
            instance: fingerprint::of_instance(instance),
            number: None,
        };
        let mut suspects = node.protection.suspects.borrow_mut();
        suspects.record_crash(Instant::now(), fingerprint(request), crash);
    }
}

/// Suspect report of the node about a request; `None` if it is no suspect.
#[must_use]
pub fn report(node: &SharedNode, fingerprint: RequestFingerprint) -> Option<SuspectReport> {
    let suspects = node.protection.suspects.borrow();
    suspects.report(Instant::now(), fingerprint)
}

/// Refuses a quarantined request.
///
/// # Errors
/// [`RefusalReason::Quarantined`].
pub fn check(node: &SharedNode, fingerprint: RequestFingerprint) -> Result<(), RefusalReason> {
    match decide(node, fingerprint) {
        SuspectDecision::Quarantined => Err(RefusalReason::Quarantined),
        SuspectDecision::Alone | SuspectDecision::Clear => Ok(()),
    }
}

/// Writes the crashes of a suspect into its call; refuses a quarantined one.
///
/// # Errors
/// [`RefusalReason::Quarantined`].
pub fn attach_report(
    node: &SharedNode,
    fingerprint: RequestFingerprint,
    request: &mut CallRequest,
) -> Result<(), RefusalReason> {
    check(node, fingerprint)?;
    let held = report(node, fingerprint);
    request.crashes = held.map_or_else(Vec::new, |report| report.crashes);
    Ok(())
}

/// Waits until the request may run: beside others, or alone if it is a suspect. Its status may
/// change during the wait, so it is checked again once the permit is held.
///
/// # Errors
/// The reason why the request may not run.
pub async fn acquire_permit(
    node: &SharedNode,
    fingerprint: RequestFingerprint,
    deadline: Instant,
) -> Result<RunPermit, RefusalReason> {
    loop {
        let required = decide(node, fingerprint);
        let exclusive = &node.protection.exclusive;
        let permit = match required {
            SuspectDecision::Clear => exclusive.acquire_shared(deadline).await?,
            SuspectDecision::Alone => exclusive.acquire_exclusive(deadline).await?,
            SuspectDecision::Quarantined => return Err(RefusalReason::Quarantined),
        };
        let found = decide(node, fingerprint);
        if found == required || found == SuspectDecision::Clear {
            return Ok(permit);
        }
    }
}

fn decide(node: &SharedNode, fingerprint: RequestFingerprint) -> SuspectDecision {
    let suspects = node.protection.suspects.borrow();
    suspects.decide(Instant::now(), fingerprint)
}
