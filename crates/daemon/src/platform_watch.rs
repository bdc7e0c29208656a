//! Watches the platform for the records and instance lists that the node needs.

use crate::{
    events, life_cycle,
    node::{RecordFault, SharedNode},
};

use lagoonshore_protocol::record;
use lagoonshore_state::{
    ids::ServiceName, instance_table::InstanceRecord, policy_set::OfferVerdict,
};
use lagoonshore_transport::{TransportError, platform_reader::PlatformReader};
use rand::Rng;
use std::{collections::BTreeSet, rc::Rc, time::Duration};
use tracing::{info, warn};

/// Mean pause between two queries of one watch; the pause is drawn around it.
const REARM_PAUSE: Duration = Duration::from_millis(100);
/// Mean pause after a failed query.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Watches the node's own record and list, then those of each service that it calls.
pub async fn run<R: PlatformReader + 'static>(node: SharedNode, reader: Rc<R>) {
    let mut watched = BTreeSet::new();
    loop {
        for service in wanted(&node) {
            if watched.insert(service.clone()) {
                actix_rt::spawn(watch_record(
                    node.clone(),
                    Rc::clone(&reader),
                    service.clone(),
                ));
                actix_rt::spawn(watch_instances(node.clone(), Rc::clone(&reader), service));
            }
        }
        pause(&node, REARM_PAUSE).await;
    }
}

/// The own service and those that its policy says it calls.
fn wanted(node: &SharedNode) -> BTreeSet<ServiceName> {
    let own = node.settings.service.clone();
    let calls = node
        .policy(&own)
        .map(|policy| policy.calls.clone())
        .unwrap_or_default();
    calls.into_iter().chain([own]).collect()
}

async fn watch_record<R: PlatformReader>(node: SharedNode, reader: Rc<R>, service: ServiceName) {
    let mut index = 0;
    loop {
        let read = reader.record(&service, index).await;
        note_read(&node, read.as_ref().err());
        match read {
            Ok(reply) => {
                index = reply.index;
                if let Some(bytes) = reply.value {
                    offer(&node, &service, &bytes);
                }
                pause(&node, REARM_PAUSE).await;
            }
            Err(_) => pause(&node, FAILURE_PAUSE).await,
        }
    }
}

async fn watch_instances<R: PlatformReader>(node: SharedNode, reader: Rc<R>, service: ServiceName) {
    let mut index = 0;
    loop {
        let read = reader.instances(&service, index).await;
        note_read(&node, read.as_ref().err());
        match read {
            Ok(reply) => {
                index = reply.index;
                apply_instances(&node, reply.value);
                pause(&node, REARM_PAUSE).await;
            }
            Err(_) => pause(&node, FAILURE_PAUSE).await,
        }
    }
}

/// Offers the bytes of a record; a refused one leaves the policy in force as it is.
pub fn offer(node: &SharedNode, service: &ServiceName, bytes: &[u8]) {
    let accepted = accept(node, service, bytes);
    let in_force = node.policies.borrow().revision(service);
    match accepted {
        Ok(OfferVerdict::InForce) => {
            node.faults.borrow_mut().remove(service);
            apply_own_policy(node, service);
            info!(event = events::POLICY_IN_FORCE, %service, revision = in_force, "policy: in force");
        }
        Ok(OfferVerdict::Unchanged) => {}
        Err(message) => {
            warn!(event = events::POLICY_REFUSED, %service, in_force, message, "policy: refused");
            node.faults
                .borrow_mut()
                .insert(service.clone(), RecordFault { message, in_force });
        }
    }
}

fn accept(node: &SharedNode, service: &ServiceName, bytes: &[u8]) -> Result<OfferVerdict, String> {
    let policy = record::parse(bytes).map_err(|fault| fault.to_string())?;
    if policy.service != *service {
        return Err(format!(
            "name: found {}, expected {service}",
            policy.service
        ));
    }
    node.policies
        .borrow_mut()
        .offer(policy, bytes)
        .map_err(|fault| fault.to_string())
}

fn apply_own_policy(node: &SharedNode, service: &ServiceName) {
    if *service != node.settings.service {
        return;
    }
    if let Some(policy) = node.policy(service) {
        node.gate.configure(&policy);
        node.connections.set(policy.connections);
    }
}

/// Takes the list as a hint: instances that it no longer names stay known.
pub fn apply_instances(node: &SharedNode, listed: Vec<InstanceRecord>) {
    for record in &listed {
        life_cycle::note_listed(node, record);
    }
    let mut table = node.instances.borrow_mut();
    for record in listed {
        table.upsert(record);
    }
}

fn note_read(node: &SharedNode, failure: Option<&TransportError>) {
    let mut platform = node.platform.borrow_mut();
    platform.reads += 1;
    platform.failures += u64::from(failure.is_some());
    let before = platform.reachable.replace(failure.is_none());
    match failure {
        Some(cause) if before != Some(false) => {
            warn!(event = events::PLATFORM_UNREACHABLE, %cause, "platform: cannot be read");
        }
        None if before == Some(false) => {
            info!(
                event = events::PLATFORM_REACHABLE,
                "platform: can be read again"
            );
        }
        _ => {}
    }
}

/// Pauses for between half and one and a half times `mean`, so that nodes do not act in step.
async fn pause(node: &SharedNode, mean: Duration) {
    let factor = node.random.borrow_mut().random_range(0.5..1.5);
    actix_rt::time::sleep(mean.mul_f64(factor)).await;
}
