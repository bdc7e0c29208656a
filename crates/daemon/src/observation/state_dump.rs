//! The dump of a node's state, in a stable order, without bodies and idempotency keys.

use crate::{
    node::{
        Node, PlatformState, gossip_state::DistributionCounters, keyed_executions::LedgerPart,
        refused_record::RefusedRecord,
    },
    observation::protection_dump::{self, SuspectsPart, UpstreamPart},
};

use lagoonshore_coordination::{
    gossip::policy_digest::ListVersion,
    lifecycle::{drain::DrainReport, readiness::ReadinessState},
    retries::retry_control::RetrySummary,
    routing::PeerSummary,
};
use lagoonshore_state::{
    admission_level::AdmissionLevel,
    counters::NodeCounters,
    ids::{ClassName, LaneName, PolicyRevision, ServiceName},
    instance_table::InstanceRecord,
    policy_set::PolicySource,
    service_cost::ServiceCost,
};
use serde::Serialize;
use std::collections::BTreeMap;
use tokio::time::Instant;

/// `StateDump` is a snapshot of the state of a node.
#[derive(Serialize)]
pub struct StateDump {
    node: IdentityPart,
    policy: BTreeMap<ServiceName, PolicyPart>,
    distribution: DistributionPart,
    admission: AdmissionPart,
    counters: NodeCounters,
    retries: RetrySummary,
    peers: Vec<PeerPart>,
    ledger: LedgerPart,
    drain: DrainReport,
    suspects: SuspectsPart,
    upstream: UpstreamPart,
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
    content: Option<String>,
    source: Option<PolicySource>,
    refused: Option<RefusedRecord>,
}

#[derive(Serialize)]
struct DistributionPart {
    readiness: ReadinessState,
    lists: Vec<ListVersion>,
    counters: DistributionCounters,
}

#[derive(Serialize)]
struct AdmissionPart {
    in_progress: u32,
    limit: u32,
    queued: u32,
    being_served: usize,
    overloaded: bool,
    level: AdmissionLevel,
    lanes: BTreeMap<LaneName, u32>,
    costs: BTreeMap<ClassName, ServiceCost>,
    services: BTreeMap<ClassName, BTreeMap<ServiceName, AdmissionLevel>>,
    wasted_micros: u64,
}

#[derive(Serialize)]
struct PeerPart {
    #[serde(flatten)]
    record: InstanceRecord,
    view: Option<PeerSummary>,
}

/// Collects the dump of `node`.
#[must_use]
pub fn collect(node: &Node) -> StateDump {
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
        distribution: DistributionPart {
            readiness: node.gossip.readiness.borrow().state(),
            lists: node.gossip.members.borrow().list_versions(),
            counters: *node.gossip.counters.borrow(),
        },
        admission: AdmissionPart {
            in_progress: load.in_progress,
            limit: load.limit,
            queued: load.queued,
            being_served: node.calls.borrow().len(),
            overloaded: node.gate.is_overloaded(),
            level: node.gate.level(),
            lanes: node.gate.lanes(),
            costs: node.gate.costs(),
            services: node.levels.borrow().restricted_levels(Instant::now()),
            wasted_micros: node.counters.borrow().wasted_micros,
        },
        counters: node.counters.borrow().clone(),
        retries: node.retries.borrow().summary(),
        peers: peers(node),
        ledger: node.executions.dump(),
        drain: node.drain.borrow().report(),
        suspects: protection_dump::suspects(node),
        upstream: protection_dump::upstream(node),
        platform: node.platform.borrow().clone(),
    }
}

fn policies(node: &Node) -> BTreeMap<ServiceName, PolicyPart> {
    let mut parts: BTreeMap<ServiceName, PolicyPart> = BTreeMap::new();
    for (service, entry) in node.policies.borrow().iter() {
        let part = parts.entry(service.clone()).or_default();
        part.revision = Some(entry.policy.revision);
        part.content = Some(format!("{:016x}", entry.content));
        part.source = Some(entry.source);
    }
    for (service, record) in node.refused_records.borrow().iter() {
        parts.entry(service.clone()).or_default().refused = Some(record.clone());
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
