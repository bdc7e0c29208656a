//! A node's view of the fleet: the document in force and the upstream list.

mod documents;
mod upstreams;
mod watchers;

use crate::store_view::{
    document_proofs::DocumentProofs, known_versions::KnownVersions, store_health::StoreHealth,
};

use compact_str::CompactString;
use lagoonshore_coordination::{
    forwarding::document_proof::{ClockReading, ProofBounds},
    protection::{fingerprint::RequestFingerprint, trial_choice},
};
use lagoonshore_protocol::relay_messages::StoreView;
use lagoonshore_state::{
    ids::{DocumentVersion, RegionName},
    instance_table::{InstanceKey, InstanceRecord, InstanceState, InstanceTable},
    route_table::{FleetDocument, RouteTable},
    upstream_list::{UpstreamList, UpstreamRecord},
};
use std::{
    cell::{Cell, Ref, RefCell},
    net::SocketAddr,
    rc::Rc,
};
use tokio::sync::watch;

/// Where a document came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentSource {
    /// The store.
    Store,
    /// Another node.
    Peer,
}

/// `FleetDirectory` holds the routes and upstreams that the node knows.
#[derive(Debug)]
pub struct FleetDirectory {
    upstream_address: SocketAddr,
    peer_port: Cell<u16>,
    region: RegionName,
    routes: RefCell<Rc<RouteTable>>,
    document: RefCell<Option<Rc<FleetDocument>>>,
    upstreams: RefCell<UpstreamList>,
    instances: RefCell<InstanceTable>,
    is_list_read: Cell<bool>,
    refused_count: Cell<u64>,
    versions: KnownVersions,
    store: StoreHealth,
    proofs: DocumentProofs,
    changes: watch::Sender<u64>,
}

impl FleetDirectory {
    /// Creates an empty directory for the node beside the upstream at `upstream_address`.
    #[must_use]
    pub fn new(upstream_address: SocketAddr, region: RegionName) -> Self {
        Self {
            upstream_address,
            peer_port: Cell::new(0),
            region,
            routes: RefCell::default(),
            document: RefCell::default(),
            upstreams: RefCell::default(),
            instances: RefCell::default(),
            is_list_read: Cell::new(false),
            refused_count: Cell::new(0),
            versions: KnownVersions::default(),
            store: StoreHealth::default(),
            proofs: DocumentProofs::default(),
            changes: watch::channel(0).0,
        }
    }

    /// Proof that the document in force was the newest one a short time ago.
    #[must_use]
    pub const fn proofs(&self) -> &DocumentProofs {
        &self.proofs
    }

    /// Bounds of that proof; `None` if no caller needs a key, or keys need no proof.
    #[must_use]
    pub fn proof_bounds(&self) -> Option<ProofBounds> {
        let has_accounts = self.routes.borrow().has_accounts();
        self.proofs.bounds().filter(|_| has_accounts)
    }

    /// Records what the node at `address` tells of the store, in the answer to a call that began at
    /// `called`.
    pub fn record_view(&self, address: SocketAddr, called: ClockReading, view: &StoreView) {
        self.versions.record_known(view.revision);
        self.versions.record_document(address, view.version);
        self.proofs.record_view(called, view, self.version());
        let revision = self.versions.revision();
        self.proofs.record_list_view(called, view, revision);
    }

    /// Sets the port at which all nodes listen for peers.
    pub fn set_peer_port(&self, port: u16) {
        self.peer_port.set(port);
    }

    /// Marks the upstream list as read completely.
    pub fn mark_list_read(&self) {
        self.is_list_read.set(true);
        self.notify_change();
    }

    /// Versions and revisions that this node and others know of.
    #[must_use]
    pub const fn versions(&self) -> &KnownVersions {
        &self.versions
    }

    /// Reads of the store.
    #[must_use]
    pub const fn store(&self) -> &StoreHealth {
        &self.store
    }

    /// Version of the document in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> DocumentVersion {
        self.routes.borrow().version()
    }

    /// Routes in force.
    #[must_use]
    pub fn routes(&self) -> Rc<RouteTable> {
        Rc::clone(&self.routes.borrow())
    }

    /// Document in force, for other nodes.
    #[must_use]
    pub fn document(&self) -> Option<Rc<FleetDocument>> {
        self.document.borrow().clone()
    }

    /// Table of instances among which peers are selected.
    #[must_use]
    pub fn instances(&self) -> Ref<'_, InstanceTable> {
        self.instances.borrow()
    }

    /// The upstream list.
    #[must_use]
    pub fn upstreams(&self) -> Ref<'_, UpstreamList> {
        self.upstreams.borrow()
    }

    /// Chooses the instance of `service` that may run a request again after its quarantine.
    #[must_use]
    pub fn trial_instance(
        &self,
        service: &str,
        fingerprint: RequestFingerprint,
    ) -> Option<(InstanceKey, InstanceRecord)> {
        let table = self.instances.borrow();
        let live = table
            .of_service(service)
            .filter(|(_, record)| record.state == InstanceState::Live);
        let chosen = trial_choice::choose(fingerprint, live, |(_, record)| &record.name)?;
        Some((chosen.0, chosen.1.clone()))
    }

    /// Number of listed upstreams, each with a node beside it.
    #[must_use]
    pub fn node_count(&self) -> u32 {
        u32::try_from(self.upstreams.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Slots of the local upstream; `None` until it is listed.
    #[must_use]
    pub fn local_slots(&self) -> Option<u32> {
        let upstreams = self.upstreams.borrow();
        upstreams
            .find_by_address(self.upstream_address)
            .map(|local| local.slots)
    }

    /// Returns whether the upstream `name` announced that it is draining, or was removed.
    #[must_use]
    pub fn has_departed(&self, name: &str) -> bool {
        self.upstreams.borrow().has_departed(name)
    }

    /// Returns whether a document is in force and the upstream list was read and is not empty.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.version() > 0 && self.is_list_read.get() && !self.upstreams.borrow().is_empty()
    }

    /// Number of invalid documents and list entries so far.
    #[must_use]
    pub fn refused_count(&self) -> u64 {
        self.refused_count.get()
    }

    /// Returns a receiver that is notified at every change of the directory.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Names of the listed upstreams.
    #[must_use]
    pub fn listed_names(&self) -> Vec<CompactString> {
        let upstreams = self.upstreams.borrow();
        upstreams.iter().map(|record| record.name.clone()).collect()
    }

    /// Address at which other nodes find this one; `None` until its upstream is listed.
    #[must_use]
    pub fn own_peer_address(&self) -> Option<SocketAddr> {
        let upstreams = self.upstreams.borrow();
        let own = upstreams.find_by_address(self.upstream_address)?;
        Some(self.peer_address(own))
    }

    /// Address at which the node beside an upstream listens for peers.
    fn peer_address(&self, record: &UpstreamRecord) -> SocketAddr {
        SocketAddr::new(record.address.ip(), self.peer_port.get())
    }

    fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}
