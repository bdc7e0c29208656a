//! What a node believes of the fleet: the document in force, and the upstreams that are listed.

use crate::events;

use compact_str::CompactString;
use lagoonshore_protocol::relay_messages::FleetSnapshot;
use lagoonshore_state::{
    ids::{DocumentVersion, RegionName},
    instance_table::{InstanceRecord, InstanceTable},
    route_table::{FleetDocument, RouteTable},
    upstream_list::{UpstreamList, UpstreamRecord},
};
use std::{
    cell::{Cell, Ref, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::sync::watch;
use tracing::{info, warn};

/// Where a document or an entry came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentSource {
    /// The store.
    Store,
    /// Another node.
    Peer,
}

/// `PeerVersions` is the newest that other nodes were heard to know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerVersions {
    /// Newest version of the document.
    pub version: DocumentVersion,
    /// A node that has it in force.
    pub peer: Option<SocketAddr>,
    /// Newest change of the store.
    pub revision: u64,
}

/// `FleetDirectory` holds the fleet as the node sees it.
#[derive(Debug)]
pub struct FleetDirectory {
    own_address: SocketAddr,
    peer_port: Cell<u16>,
    region: RegionName,
    routes: RefCell<Rc<RouteTable>>,
    document: RefCell<Option<Rc<FleetDocument>>>,
    upstreams: RefCell<UpstreamList>,
    instances: RefCell<InstanceTable>,
    list_is_read: Cell<bool>,
    store_is_lost: Cell<bool>,
    refused_count: Cell<u64>,
    revision: Cell<u64>,
    peers: watch::Sender<PeerVersions>,
    changes: watch::Sender<u64>,
}

impl FleetDirectory {
    /// Creates an empty directory of a node beside the upstream at `own_address`.
    #[must_use]
    pub fn new(own_address: SocketAddr, region: RegionName) -> Self {
        Self {
            own_address,
            peer_port: Cell::new(0),
            region,
            routes: RefCell::default(),
            document: RefCell::default(),
            upstreams: RefCell::default(),
            instances: RefCell::default(),
            list_is_read: Cell::new(false),
            store_is_lost: Cell::new(false),
            refused_count: Cell::new(0),
            revision: Cell::new(0),
            peers: watch::channel(PeerVersions::default()).0,
            changes: watch::channel(0).0,
        }
    }

    /// Sets the port at which all nodes listen for each other.
    pub fn set_peer_port(&self, port: u16) {
        self.peer_port.set(port);
    }

    /// Puts a document in force if it is newer than the one that is; `true` if it was.
    pub fn apply_document(&self, document: FleetDocument, source: DocumentSource) -> bool {
        let held = self.version();
        if document.version <= held {
            return false;
        }
        info!(
            event = events::DOCUMENT_IN_FORCE,
            version = document.version,
            held,
            routes = document.routes.len(),
            ?source,
            "document: in force"
        );
        let document = Rc::new(document);
        let table = RouteTable::new((*document).clone());
        self.routes.replace(Rc::new(table));
        self.document.replace(Some(document));
        self.note_change();
        true
    }

    /// All that the node knows, for one that has just started.
    #[must_use]
    pub fn snapshot(&self) -> Option<FleetSnapshot> {
        let document = (*self.document()?).clone();
        let upstreams = self.upstreams.borrow();
        Some(FleetSnapshot {
            document,
            upstreams: upstreams.iter().cloned().collect(),
        })
    }

    /// Takes over what another node knows, if nothing is known yet. The store, once it is read,
    /// goes before it.
    pub fn merge_snapshot(&self, knowledge: FleetSnapshot) {
        if self.version() > 0 {
            return;
        }
        for record in knowledge.upstreams {
            self.upsert_upstream(record);
        }
        self.apply_document(knowledge.document, DocumentSource::Peer);
        self.mark_list_read();
    }

    /// Logs and counts a document that cannot be used; the one in force stays.
    pub fn refuse_document(&self, revision: u64, fault: &str) {
        self.refused_count.set(self.refused_count.get() + 1);
        let held = self.version();
        warn!(
            event = events::DOCUMENT_REFUSED,
            revision, held, fault, "document: refused"
        );
    }

    /// Takes in what the list says of an upstream.
    pub fn upsert_upstream(&self, record: UpstreamRecord) {
        let name = record.name.clone();
        let (state, revision) = (record.state, record.revision);
        let entry = self.instance_record(&record);
        if !self.upstreams.borrow_mut().upsert(record) {
            return;
        }
        info!(
            event = events::UPSTREAM_LISTED,
            instance = %name, service = %entry.service, ?state, revision, "upstream: listed"
        );
        self.instances.borrow_mut().upsert(entry);
        self.note_change();
    }

    /// Forgets an upstream that is not listed any more.
    pub fn remove_upstream(&self, name: &str, revision: u64) {
        if self.upstreams.borrow_mut().remove(name, revision).is_none() {
            return;
        }
        info!(
            event = events::UPSTREAM_GONE,
            instance = name,
            revision,
            "upstream: gone from the list"
        );
        let mut instances = self.instances.borrow_mut();
        if let Some(key) = instances.find(name) {
            instances.remove(key);
        }
        drop(instances);
        self.note_change();
    }

    /// Logs and counts an entry that names no upstream; what was known under its name goes.
    pub fn refuse_entry(&self, name: &str, revision: u64, fault: &str) {
        self.refused_count.set(self.refused_count.get() + 1);
        warn!(
            event = events::ENTRY_REFUSED,
            instance = name,
            revision,
            fault,
            "list entry: refused"
        );
        self.remove_upstream(name, revision);
    }

    /// Notes that the whole list was read once.
    pub fn mark_list_read(&self) {
        self.list_is_read.set(true);
        self.note_change();
    }

    /// Notes a change of the store that was taken in.
    pub fn record_revision(&self, revision: u64) {
        self.revision.set(self.revision.get().max(revision));
    }

    /// Newest change of the store that was taken in.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Notes what another node was heard to know.
    pub fn record_peer_version(&self, peer: SocketAddr, version: DocumentVersion, revision: u64) {
        self.peers.send_if_modified(|known| {
            let is_news = version > known.version || revision > known.revision;
            if version > known.version {
                known.version = version;
                known.peer = Some(peer);
            }
            known.revision = known.revision.max(revision);
            is_news
        });
    }

    /// Tells what other nodes know, as it changes.
    #[must_use]
    pub fn peers(&self) -> watch::Receiver<PeerVersions> {
        self.peers.subscribe()
    }

    /// Waits until other nodes have known of a newer change of the store for `time`.
    pub async fn wait_until_behind_peers(&self, time: Duration) {
        let mut peers = self.peers();
        loop {
            let newest = peers.borrow_and_update().revision;
            if newest > self.revision() {
                actix_rt::time::sleep(time).await;
                if newest > self.revision() {
                    return;
                }
            }
            // The directory keeps the other end.
            if peers.changed().await.is_err() {
                return;
            }
        }
    }

    /// Notes whether the store can be read.
    pub fn record_store_state(&self, cause: Option<&str>) {
        let was_lost = self.store_is_lost.replace(cause.is_some());
        match cause {
            Some(cause) if !was_lost => {
                warn!(
                    event = events::STORE_LOST,
                    cause,
                    version = self.version(),
                    "store: lost"
                );
            }
            None if was_lost => {
                info!(event = events::STORE_RECOVERED, "store: regained");
            }
            _ => {}
        }
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

    /// Instances as the choice of peers sees them.
    #[must_use]
    pub fn instances(&self) -> Ref<'_, InstanceTable> {
        self.instances.borrow()
    }

    /// Upstreams that are listed.
    #[must_use]
    pub fn upstreams(&self) -> Ref<'_, UpstreamList> {
        self.upstreams.borrow()
    }

    /// Number of listed upstreams, each with a node beside it.
    #[must_use]
    pub fn node_count(&self) -> u32 {
        u32::try_from(self.upstreams.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Slots of the own upstream, once it is listed.
    #[must_use]
    pub fn own_slots(&self) -> Option<u32> {
        let upstreams = self.upstreams.borrow();
        upstreams
            .find_by_address(self.own_address)
            .map(|own| own.slots)
    }

    /// Tells whether the upstream `name` gave notice that it leaves, or left.
    #[must_use]
    pub fn has_departed(&self, name: &str) -> bool {
        self.upstreams.borrow().has_departed(name)
    }

    /// Tells whether the node knows routes and upstreams.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.version() > 0 && self.list_is_read.get() && !self.upstreams.borrow().is_empty()
    }

    /// Documents and entries that were refused.
    #[must_use]
    pub fn refused_count(&self) -> u64 {
        self.refused_count.get()
    }

    /// Tells of every change.
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

    fn instance_record(&self, record: &UpstreamRecord) -> InstanceRecord {
        InstanceRecord {
            name: record.name.clone(),
            service: record.service.clone(),
            zone: record.zone.clone(),
            region: self.region.clone(),
            peer: SocketAddr::new(record.address.ip(), self.peer_port.get()),
            state: record.state,
        }
    }

    fn note_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}
