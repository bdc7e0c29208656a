//! The dump of a node's state: stable order, no bodies, no keys.

use crate::node::{Node, PlatformState, RecordFault};

use lagoonshore_coordination::{
    drain::DrainState, retries::retry_control::RetrySummary, routing::PeerSummary,
};
use lagoonshore_state::{
    counters::NodeCounters,
    ids::{PolicyRevision, ServiceName},
    instance_table::InstanceRecord,
};
use serde::Serialize;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// `StateDump` is the state of a whole node.
#[derive(Serialize)]
pub struct StateDump {
    node: IdentityPart,
    policy: BTreeMap<ServiceName, PolicyPart>,
    admission: AdmissionPart,
    counters: NodeCounters,
    retries: RetrySummary,
    peers: Vec<PeerPart>,
    drain: DrainState,
    platform: PlatformState,
}

#[derive(Serialize)]
struct IdentityPart {
    instance: String,
    service: String,
    zone: String,
    region: String,
    incarnation: String,
    version: &'static str,
}

#[derive(Default, Serialize)]
struct PolicyPart {
    revision: Option<PolicyRevision>,
    refused: Option<RecordFault>,
}

#[derive(Serialize)]
struct AdmissionPart {
    in_progress: u32,
    limit: u32,
    queued: u32,
    being_served: usize,
}

#[derive(Serialize)]
struct PeerPart {
    #[serde(flatten)]
    record: InstanceRecord,
    view: Option<PeerSummary>,
}

/// Takes the dump of `node`.
#[must_use]
pub fn take(node: &Node) -> StateDump {
    let load = node.gate.load();
    let settings = &node.settings;
    StateDump {
        node: IdentityPart {
            instance: settings.instance.to_string(),
            service: settings.service.to_string(),
            zone: settings.zone.to_string(),
            region: settings.region.to_string(),
            incarnation: format!("{:016x}", node.incarnation),
            version: env!("CARGO_PKG_VERSION"),
        },
        policy: policies(node),
        admission: AdmissionPart {
            in_progress: load.in_progress,
            limit: load.limit,
            queued: load.queued,
            being_served: node.calls.borrow().len(),
        },
        counters: node.counters.borrow().clone(),
        retries: node.retries.borrow().summary(),
        peers: peers(node),
        drain: node.drain.borrow().state(),
        platform: node.platform.borrow().clone(),
    }
}

fn policies(node: &Node) -> BTreeMap<ServiceName, PolicyPart> {
    let mut parts: BTreeMap<ServiceName, PolicyPart> = BTreeMap::new();
    for (service, entry) in node.policies.borrow().iter() {
        parts.entry(service.clone()).or_default().revision = Some(entry.policy.revision);
    }
    for (service, fault) in node.faults.borrow().iter() {
        parts.entry(service.clone()).or_default().refused = Some(fault.clone());
    }
    parts
}

fn peers(node: &Node) -> Vec<PeerPart> {
    let table = node.instances.borrow();
    let selector = node.selector.borrow();
    let now = Instant::now();
    let part = |(key, record): (_, &InstanceRecord)| PeerPart {
        record: record.clone(),
        view: selector.summary(key, now),
    };
    table.iter().map(part).collect()
}
