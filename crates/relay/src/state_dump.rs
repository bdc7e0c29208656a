//! The state of a node as the admin listener shows it to operators.

use crate::{
    calling::peer_table::PeerTable, directory::FleetDirectory, quota::quota_view::QuotaDump,
    serving::slot_limiter::SlotUsage,
};

use compact_str::CompactString;
use lagoonshore_coordination::routing::PeerSummary;
use lagoonshore_state::{
    account::{AccountEntry, AccountQuota},
    ids::{AccountName, DocumentVersion, InstanceName, ServiceName, ZoneName},
    instance_table::InstanceState,
    route_table::RouteEntry,
    units::{RequestImportance, whole_millis},
};
use lagoonshore_transport::memory_report::MemoryReport;
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr};

/// Most accounts in a list for operators, so that its time and size have a bound beside many accounts.
pub(crate) const LISTED_ACCOUNTS_MAX: usize = 100;

/// `StateDump` is a snapshot of the knowledge and the work of a node.
#[derive(Debug, Serialize)]
pub struct StateDump {
    /// Name of the node.
    pub node: CompactString,
    /// Service of the local upstream.
    pub service: ServiceName,
    /// Whether the node accepts callers.
    pub is_ready: bool,
    /// Version of the document in force; 0 before the first.
    pub version: DocumentVersion,
    /// Invalid documents and list entries since the start of the process.
    pub refused_entries: u64,
    /// What the node knows of the store.
    pub store: StorePart,
    /// Use of the slots of the local upstream.
    pub slots: SlotUsage,
    /// Requests of callers in progress.
    pub calls: u32,
    /// Requests in progress beside the local upstream, including those that wait for a slot.
    pub served: u32,
    /// Attempts to connect to the local upstream since the start of the process.
    pub upstream_connections: u64,
    /// Open links to other nodes.
    pub links: usize,
    /// Open connections of callers.
    pub caller_connections: u32,
    /// Who holds the memory of messages.
    pub memory: MemoryReport,
    /// Shares of the requests that leave the availability zone, by service.
    pub zone_shares: BTreeMap<ServiceName, f64>,
    /// Instances in the upstream list.
    pub instances: Vec<InstanceView>,
    /// Quotas of accounts; `None` in a fleet without accounts.
    pub quotas: Option<QuotaDump>,
    /// Routes in force.
    pub routes: Vec<RouteEntry>,
    /// Client accounts, if callers need a key.
    pub accounts: Option<AccountsPart>,
}

/// `AccountsPart` shows the client accounts, and whether their keys let callers in.
#[derive(Debug, Serialize)]
pub struct AccountsPart {
    /// Time since the document in force was last known to be the newest, in milliseconds; `None` if that
    /// was never known.
    pub proof_age_ms: Option<u32>,
    /// Time after which keys are refused without a newer proof, in milliseconds; `None` for never.
    pub proof_age_max_ms: Option<u32>,
    /// Number of accounts.
    pub total: usize,
    /// The first accounts by name, up to a number; each one has a page of its own.
    pub entries: Vec<AccountView>,
}

/// `AccountView` shows one account.
#[derive(Debug, Serialize)]
pub struct AccountView {
    /// Name of the account.
    pub name: AccountName,
    /// Fingerprints of its keys.
    pub keys: Vec<String>,
    /// Importance of its requests.
    pub importance: Option<RequestImportance>,
    /// Quota over all nodes.
    pub quota: Option<AccountQuota>,
}

impl AccountView {
    /// Returns the view of `account`.
    #[must_use]
    pub fn new(account: &AccountEntry) -> Self {
        let keys = account.keys.iter();
        Self {
            name: account.name.clone(),
            keys: keys.map(|key| key.fingerprint().to_string()).collect(),
            importance: account.importance,
            quota: account.quota,
        }
    }
}

/// Returns the client accounts; `None` if callers need no key.
#[must_use]
pub fn accounts(directory: &FleetDirectory) -> Option<AccountsPart> {
    let routes = directory.routes();
    if !routes.has_accounts() {
        return None;
    }
    let proofs = directory.proofs();
    let bounds = proofs.bounds();
    let accounts = routes.accounts();
    Some(AccountsPart {
        proof_age_ms: proofs.age().map(whole_millis),
        proof_age_max_ms: bounds.map(|bounds| whole_millis(bounds.revocation)),
        total: accounts.len(),
        entries: accounts
            .into_iter()
            .take(LISTED_ACCOUNTS_MAX)
            .map(|account| AccountView::new(account))
            .collect(),
    })
}

/// `StorePart` shows what the node knows of the store, and since when.
#[derive(Debug, Serialize)]
pub struct StorePart {
    /// Newest revision that was applied.
    pub revision: u64,
    /// Newest revision that was applied here or that another node has reported.
    pub known_revision: u64,
    /// Time since the last read that succeeded, in milliseconds.
    pub read_age_ms: u32,
}

/// Returns what the node knows of the store.
#[must_use]
pub fn store(directory: &FleetDirectory) -> StorePart {
    let versions = directory.versions();
    StorePart {
        revision: versions.revision(),
        known_revision: versions.known_revision(),
        read_age_ms: whole_millis(directory.store().read_age()),
    }
}

/// `InstanceView` is what a node knows about one instance.
#[derive(Debug, Serialize)]
pub struct InstanceView {
    /// Name of the upstream.
    pub name: InstanceName,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Peer address of the node beside the upstream.
    pub peer: SocketAddr,
    /// State in the upstream list.
    pub state: InstanceState,
    /// Load and health as observed by this node; `None` before the first request to its service.
    pub seen: Option<PeerSummary>,
}

/// Returns the listed instances with what `peers` has observed of them.
#[must_use]
pub fn instances(directory: &FleetDirectory, peers: &PeerTable) -> Vec<InstanceView> {
    let table = directory.instances();
    let views = table.iter().map(|(key, record)| InstanceView {
        name: record.name.clone(),
        service: record.service.clone(),
        zone: record.zone.clone(),
        peer: record.peer,
        state: record.state,
        seen: peers.summary(key),
    });
    views.collect()
}
