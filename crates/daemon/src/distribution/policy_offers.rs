//! Accepts offers of policy records from the platform and from peers, puts newer ones in force and
//! reports refused ones.

use crate::{
    events,
    node::{
        SharedNode,
        refused_record::{RefusalKind, RefusedRecord},
    },
};

use lagoonshore_coordination::gossip::policy_digest::RecordVersion;
use lagoonshore_protocol::{ProtocolError, record};
use lagoonshore_state::{
    StateError,
    ids::ServiceName,
    policy_set::{self, OfferOutcome, PolicySource},
};
use std::collections::BTreeSet;
use tracing::{info, warn};

/// Metric that counts refused offers, by service.
const REFUSED_METRIC: &str = "lagoonshore_policy_refused_total";

struct OfferError {
    verdict: RefusalKind,
    message: String,
}

/// Offers the bytes of a record; a refused one leaves the policy in force unchanged.
///
/// # Errors
/// The [`RefusalKind`] of a refused offer.
pub fn offer(
    node: &SharedNode,
    service: &ServiceName,
    bytes: &[u8],
    source: PolicySource,
) -> Result<(), RefusalKind> {
    match accept(node, service, bytes, source) {
        Ok(OfferOutcome::InForce) => {
            mark_in_force(node, service, source);
            Ok(())
        }
        Ok(OfferOutcome::Unchanged) => {
            node.gossip.distribution.borrow_mut().mark_in_force(service);
            Ok(())
        }
        Err(error) => {
            let verdict = error.verdict;
            handle_refused(node, service, bytes, source, error);
            Err(verdict)
        }
    }
}

/// Reports that a peer holds the revision in force with different content.
pub fn report_conflict(node: &SharedNode, version: &RecordVersion) {
    let RecordVersion {
        service,
        revision,
        content,
    } = version;
    let message = format!(
        "revision {revision} is in force with different content; a peer has content {content:016x}"
    );
    let error = OfferError {
        verdict: RefusalKind::Conflict,
        message,
    };
    report_refused(node, service, PolicySource::Peer, error);
}

/// Returns the node's own service and the services that its policy lists as called.
#[must_use]
pub fn wanted_services(node: &SharedNode) -> BTreeSet<ServiceName> {
    let own = node.settings.service.clone();
    let calls = node
        .policy(&own)
        .map(|policy| policy.calls.clone())
        .unwrap_or_default();
    calls.into_iter().chain([own]).collect()
}

fn accept(
    node: &SharedNode,
    service: &ServiceName,
    bytes: &[u8],
    source: PolicySource,
) -> Result<OfferOutcome, OfferError> {
    let policy = record::parse_for_service(service, bytes).map_err(|error| OfferError {
        verdict: match error {
            ProtocolError::UnknownSchema { .. } => RefusalKind::UnknownSchema,
            _ => RefusalKind::Malformed,
        },
        message: error.to_string(),
    })?;
    let accepted = node.policies.borrow_mut().offer(policy, bytes, source);
    accepted.map_err(|error| {
        let line = record::revision_line(bytes).unwrap_or_default();
        OfferError {
            verdict: match error {
                StateError::ConflictingRevision { .. } => RefusalKind::Conflict,
                StateError::StaleRevision { .. } => RefusalKind::Older,
            },
            message: format!("line {line}: {error}"),
        }
    })
}

fn mark_in_force(node: &SharedNode, service: &ServiceName, source: PolicySource) {
    let revision = node.policies.borrow().revision(service);
    node.refused_records.borrow_mut().remove(service);
    let gossip = &node.gossip;
    gossip.distribution.borrow_mut().mark_in_force(service);
    gossip.schedule.borrow_mut().record_change();
    gossip.counters.borrow_mut().accepted += 1;
    if *service == node.settings.service {
        apply_own_policy(node);
    }
    info!(event = events::POLICY_IN_FORCE, %service, revision, ?source, "policy: in force");
}

fn apply_own_policy(node: &SharedNode) {
    if let Some(policy) = node.policy(&node.settings.service) {
        node.gate.configure(&policy);
        node.connections.set(policy.connections);
    }
    let wanted_services = wanted_services(node);
    let gossip = &node.gossip;
    gossip.distribution.borrow_mut().set_wanted(wanted_services);
}

fn handle_refused(
    node: &SharedNode,
    service: &ServiceName,
    bytes: &[u8],
    source: PolicySource,
    error: OfferError,
) {
    if source == PolicySource::Peer {
        let content = policy_set::content_hash(bytes);
        let mut distribution = node.gossip.distribution.borrow_mut();
        distribution.mark_refused(service, content);
    }
    report_refused(node, service, source, error);
}

fn report_refused(
    node: &SharedNode,
    service: &ServiceName,
    source: PolicySource,
    error: OfferError,
) {
    node.gossip.counters.borrow_mut().refused += 1;
    let label = service.to_string();
    metrics::counter!(REFUSED_METRIC, "service" => label).increment(1);
    let in_force = node.policies.borrow().revision(service);
    let mut refused_records = node.refused_records.borrow_mut();
    if let Some(known) = refused_records
        .get_mut(service)
        .filter(|known| known.message == error.message)
    {
        known.times += 1;
        return;
    }
    let OfferError {
        verdict, message, ..
    } = error;
    warn!(
        event = events::POLICY_REFUSED, %service, in_force, ?verdict, ?source, message,
        "policy: record refused"
    );
    let refused = RefusedRecord {
        verdict,
        message,
        source,
        in_force,
        times: 1,
    };
    refused_records.insert(service.clone(), refused);
}
