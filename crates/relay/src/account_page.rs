//! What a node knows of a client account, for operators. Keys are shown by fingerprint only.

use crate::{
    directory::FleetDirectory,
    quota::quota_view::{CounterView, HandView},
    request_expectation::RequestExpectation,
    state_dump::AccountView,
};

use compact_str::CompactString;
use lagoonshore_state::{
    account::{AccountEntry, AccountQuota},
    ids::{AccountName, DocumentVersion, ZoneName},
    units::{RequestImportance, whole_millis},
};
use serde::Serialize;
use std::net::SocketAddr;

/// `AccountPage` is a node's view of one account.
#[derive(Debug, Serialize)]
pub struct AccountPage {
    /// Name of the node.
    pub node: CompactString,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Version of the document in force.
    pub version: DocumentVersion,
    /// The account by that document.
    pub account: AccountView,
    /// Proof that the document is the newest.
    pub proof: ProofPart,
    /// State of the quota; `None` if the account has none.
    pub quota: Option<QuotaPage>,
    /// What would happen now to a request with a key of the account, on a route that needs one.
    pub request_now: RequestExpectation,
}

/// `ProofPart` is the proof by which keys are accepted.
#[derive(Debug, Serialize)]
pub struct ProofPart {
    /// `current`: unknown keys get 401; `aging`: they get 503; `stale`: all keys get 503.
    pub freshness: &'static str,
    /// Time since the document was last known to be the newest, in milliseconds; `None` if it never was.
    pub age_ms: Option<u32>,
    /// Age from which on it is `aging`, in milliseconds; `None` if keys need no proof.
    pub current_max_ms: Option<u32>,
    /// Age from which on it is `stale`, in milliseconds; `None` if keys need no proof.
    pub age_max_ms: Option<u32>,
}

impl ProofPart {
    /// Returns the proof that the node of `directory` holds.
    #[must_use]
    pub fn new(directory: &FleetDirectory) -> Self {
        let proofs = directory.proofs();
        let bounds = proofs.bounds();
        Self {
            freshness: proofs.freshness().as_str(),
            age_ms: proofs.age().map(whole_millis),
            current_max_ms: bounds.map(|bounds| whole_millis(bounds.apply.min(bounds.revocation))),
            age_max_ms: bounds.map(|bounds| whole_millis(bounds.revocation)),
        }
    }
}

/// `QuotaPage` is the state of the quota of one account.
#[derive(Debug, Serialize)]
pub struct QuotaPage {
    /// Availability zones among which the quota is divided.
    pub zones: u32,
    /// Part of each zone, in requests a second.
    pub zone_rate: f64,
    /// Most tokens in the bucket of each zone.
    pub zone_capacity: f64,
    /// Counter of each zone. Its bucket, demand and loans are on the page of that node.
    pub counters: Vec<ZoneCounter>,
    /// Bucket, demand and loans of the own zone; `None` if another node counts, or none has asked yet.
    pub own_counter: Option<CounterView>,
    /// Tokens that this node holds; `None` before the first request of the account.
    pub in_hand: Option<HandView>,
}

/// `ZoneCounter` is the node that counts the requests of an account in a zone.
#[derive(Debug, Serialize)]
pub struct ZoneCounter {
    /// Availability zone.
    pub zone: ZoneName,
    /// Address at which the counter listens for other nodes.
    pub counter: SocketAddr,
    /// Whether it is this node.
    pub is_own: bool,
}

/// `CallerPart` says what would happen to a request at this node, in a fleet with accounts.
#[derive(Debug, Serialize)]
pub struct CallerPart {
    /// Account whose key it has; `None` if it has no key.
    pub account: Option<AccountName>,
    /// Importance of the request, by account and route.
    pub importance: RequestImportance,
    /// Proof by which its key is accepted.
    pub proof: ProofPart,
    /// Tokens that this node holds; `None` without an account, or before its first request.
    pub in_hand: Option<HandView>,
    /// What would happen to it.
    pub request_now: RequestExpectation,
}

/// `AccountList` is a part of the accounts, by name.
#[derive(Debug, Serialize)]
pub struct AccountList {
    /// Version of the document in force.
    pub version: DocumentVersion,
    /// Accounts of the document.
    pub total: usize,
    /// Accounts that follow; ask for `/accounts?after=NAME` with the last name of this part.
    pub left: usize,
    /// The accounts of this part.
    pub accounts: Vec<AccountLine>,
}

/// `AccountLine` is an account in a list.
#[derive(Debug, Serialize)]
pub struct AccountLine {
    /// Name of the account.
    pub name: AccountName,
    /// Number of its keys.
    pub keys: usize,
    /// Importance of its requests.
    pub importance: Option<RequestImportance>,
    /// Quota over all nodes.
    pub quota: Option<AccountQuota>,
}

impl AccountLine {
    /// Returns the line of `account`.
    #[must_use]
    pub fn new(account: &AccountEntry) -> Self {
        Self {
            name: account.name.clone(),
            keys: account.keys.len(),
            importance: account.importance,
            quota: account.quota,
        }
    }
}
