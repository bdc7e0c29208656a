//! The state of a node, for operators.

use crate::{
    calling::peer_table::PeerTable, directory::FleetDirectory, serving::slot_limiter::SlotUsage,
};

use compact_str::CompactString;
use lagoonshore_coordination::routing::PeerSummary;
use lagoonshore_state::{
    ids::{DocumentVersion, InstanceName, ServiceName, ZoneName},
    instance_table::InstanceState,
    route_table::RouteEntry,
};
use serde::Serialize;
use std::net::SocketAddr;

/// `StateDump` is what a node believes and does.
#[derive(Debug, Serialize)]
pub struct StateDump {
    /// Name of the node.
    pub node: CompactString,
    /// Service of the upstream beside it.
    pub service: ServiceName,
    /// Whether it takes callers.
    pub is_ready: bool,
    /// Version of the document in force; 0 before the first.
    pub version: DocumentVersion,
    /// Documents and entries that were refused.
    pub refused_entries: u64,
    /// Slots of the own upstream.
    pub slots: SlotUsage,
    /// Requests of callers that are on their way.
    pub calls: u32,
    /// Requests that the own upstream has.
    pub served: u32,
    /// Connections to the own upstream opened so far.
    pub upstream_connections: u64,
    /// Links to other nodes.
    pub links: usize,
    /// Listed instances.
    pub instances: Vec<InstanceView>,
    /// Routes in force.
    pub routes: Vec<RouteEntry>,
}

/// `InstanceView` is what a node knows of one instance.
#[derive(Debug, Serialize)]
pub struct InstanceView {
    /// Name of its upstream.
    pub name: InstanceName,
    /// Service.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the node beside it.
    pub peer: SocketAddr,
    /// What the list says of it.
    pub state: InstanceState,
    /// What the node has seen of it; none before the first request to its service.
    pub seen: Option<PeerSummary>,
}

/// Instances as `book` knows them.
#[must_use]
pub fn instances(directory: &FleetDirectory, book: &PeerTable) -> Vec<InstanceView> {
    let table = directory.instances();
    let views = table.iter().map(|(key, record)| InstanceView {
        name: record.name.clone(),
        service: record.service.clone(),
        zone: record.zone.clone(),
        peer: record.peer,
        state: record.state,
        seen: book.summary(key),
    });
    views.collect()
}
