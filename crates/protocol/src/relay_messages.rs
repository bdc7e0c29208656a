//! Messages between the nodes of a forwarding fleet.

use crate::relay_bytes::RelayBytes;

use compact_str::CompactString;
use lagoonshore_coordination::{
    forwarding::{document_proof::ProofReport, slot_queue::RouteId},
    protection::{crash_set::CrashReport, suspects::SuspectReport},
    request::outcome::RefusalReason,
};
use lagoonshore_state::{
    data_type,
    ids::{AccountName, DocumentVersion, InstanceName, ServiceName},
    route_table::FleetDocument,
    units::RequestImportance,
    upstream_list::{UpstreamLimit, UpstreamRecord, UpstreamRun},
};
use std::net::SocketAddr;

/// Lowest status of the server error class (RFC 9110, section 15.6).
const SERVER_ERROR_MIN: u16 = 500;

data_type! {
    /// `RelayRequest` asks a node to dispatch a request to its upstream.
    /// The deadline is carried by the tarpc context of the call.
    // The flags are independent of each other, so an enum would not be clearer.
    #[allow(clippy::struct_excessive_bools)]
    pub struct RelayRequest {
        /// Id of the request, set by the caller.
        pub id: CompactString,
        /// Service that is called.
        pub service: ServiceName,
        /// Upstream instance that runs the request.
        pub instance: InstanceName,
        /// Service of the instance beside which the sending node runs.
        pub origin: ServiceName,
        /// HTTP method.
        pub method: CompactString,
        /// Path with query, byte for byte as received.
        pub target: CompactString,
        /// Header fields to forward, in HTTP/1.1 wire format.
        pub fields: RelayBytes,
        /// Body.
        pub body: RelayBytes,
        /// Importance of the request at the root of the call chain.
        pub importance: RequestImportance,
        /// Client account of the request at the root of the call chain, if it has one.
        pub account: Option<AccountName>,
        /// Whether the request is idempotent.
        pub is_idempotent: bool,
        /// Number of calls that the parent request made before this one; `None` without a parent.
        pub calls_before: Option<u32>,
        /// Number of calls that the chain still has to make, this one included, as learnt from earlier
        /// runs; `None` without a parent, or if there were none.
        pub calls_left: Option<u32>,
        /// Id of the route: a hash of its name, the same at all nodes. Hold times of slots,
        /// admission limits and circuit breakers are kept for each route.
        pub route: RouteId,
        /// Time left of the route's target latency, in milliseconds; a response within it has its full
        /// value.
        pub aim_ms: u32,
        /// Longest wait for a slot, in milliseconds.
        pub wait_ms: u32,
        /// Whether its caller made an earlier attempt.
        pub is_returning: bool,
        /// Whether it is a retry, or a call made by a request that is one.
        pub is_repeat: bool,
        /// Whether an earlier attempt may have reached an upstream.
        pub is_resent: bool,
        /// Upstream crashes that the sender knows to have happened during the request.
        pub crashes: Vec<CrashReport>,
        /// Latest store revision that the sender has applied or heard of.
        pub revision: u64,
        /// Run of the upstream beside the receiver that announced its departure in a response to the sender. A
        /// receiver that has restarted since then does not know it.
        pub departed: Option<UpstreamRun>,
        /// Limit on its rate that the upstream beside the receiver named in the latest response to the
        /// sender. A receiver that has restarted since then does not know it.
        pub limit: Option<UpstreamLimit>,
    }

    /// `RelayResponse` is a complete response of an upstream.
    pub struct RelayResponse {
        /// HTTP status.
        pub status: u16,
        /// Header fields to forward, in HTTP/1.1 wire format.
        pub fields: RelayBytes,
        /// Body.
        pub body: RelayBytes,
    }

    /// `RelayRefusal` is returned when there is no upstream response.
    #[derive(Copy, Eq)]
    pub struct RelayRefusal {
        /// Reason of the refusal.
        pub reason: RefusalReason,
        /// How far the request got.
        pub reach: DeliveryStatus,
        /// Milliseconds after which a retry may succeed.
        pub retry_ms: u32,
        /// Whether the overload is in a service further down the call chain, so that a retry at
        /// another instance would not help.
        pub is_below: bool,
    }

    /// `DeliveryStatus` says how far a request without a response got.
    #[derive(Copy, Eq)]
    pub enum DeliveryStatus {
        /// No byte was sent to an upstream.
        Unsent,
        /// An upstream received the request and declared that it was not executed.
        Rejected,
        /// The request may have been executed.
        Unknown,
    }

    /// `RelayResult` is the result of a request.
    pub enum RelayResult {
        /// The upstream responded.
        Answered(RelayResponse),
        /// There is no upstream response.
        Refused(RelayRefusal),
    }

    /// `RelayReply` is the reply to a [`RelayRequest`].
    pub struct RelayReply {
        /// Result of the request.
        pub result: RelayResult,
        /// Status of the replying node.
        pub status: NodeStatus,
        /// Time that the request and its calls waited for slots, in milliseconds.
        pub wait_ms: u32,
        /// Number of calls made for the request, those of nested calls included.
        pub calls: u32,
        /// Worst failure among these calls.
        pub worst_failure: CallFailure,
        /// Crashes of the request that the replying node knows of.
        pub suspect: Option<SuspectReport>,
        /// Run of the upstream beside the replying node that announced its departure in a response.
        pub departed: Option<UpstreamRun>,
        /// Limit on its rate that the upstream beside the replying node named.
        pub limit: Option<UpstreamLimit>,
        /// Mean time of the latest runs of the request's route at the upstream, in microseconds; 0 if
        /// there were none.
        pub work_micros: u32,
        /// Time that the request spent at the node and its upstream, in microseconds.
        pub served_micros: u32,
    }

    /// `CallFailure` is the worst failure among the calls of a request; variants are in order of
    /// severity.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    pub enum CallFailure {
        /// All calls were served.
        #[default]
        None,
        /// A call found no reachable instance.
        CutOff,
        /// A call was not served by any instance that was tried.
        Failed,
        /// A call was refused for lack of slots.
        Starved,
    }

    /// `FleetSnapshot` is the fleet state of a node, pushed to a peer that has just started and
    /// cannot read the store.
    pub struct FleetSnapshot {
        /// Document in force.
        pub document: FleetDocument,
        /// The upstream list.
        pub upstreams: Vec<UpstreamRecord>,
    }

    /// `StoreView` is what a watcher tells the nodes that follow it.
    #[derive(Copy, Eq)]
    pub struct StoreView {
        /// Latest store revision that the watcher has applied or heard of.
        pub revision: u64,
        /// Version of the document in force; 0 if there is none.
        pub version: DocumentVersion,
        /// Time since the last read of the store that succeeded, in milliseconds.
        pub read_age_ms: u32,
        /// Time for which the watcher held the call, in milliseconds.
        pub held_ms: u32,
        /// Proof that its document was the newest, if the keys of callers need one.
        pub proof: Option<ProofReport>,
    }

    /// `TokenAsk` asks a counter for tokens of the quota of an account.
    pub struct TokenAsk {
        /// Name of the account.
        pub account: AccountName,
        /// Tokens that are wanted.
        pub wanted: f64,
        /// What the tokens are for.
        pub purpose: TokenPurpose,
        /// Address on which the asking node listens for other nodes.
        pub asker: SocketAddr,
        /// Version of its document.
        pub version: DocumentVersion,
        /// Availability zones among which it divides quotas.
        pub zones: u32,
    }

    /// `TokenPurpose` is what an ask for tokens is for.
    #[derive(Copy, Eq)]
    pub enum TokenPurpose {
        /// A node admits requests with them.
        Requests,
        /// The counter of another availability zone asks for a loan.
        Loan,
        /// A node that has just started asks whether the other one counts in its place; it wants none.
        Takeover,
    }

    /// `TokenGrant` is the reply to a [`TokenAsk`].
    #[derive(Copy)]
    pub enum TokenGrant {
        /// The node does not count the requests of the account, or not yet.
        NotCounter,
        /// The tokens that the asking node may use.
        Granted {
            /// Tokens; a whole number unless they are lent.
            tokens: f64,
            /// Milliseconds after which the node may ask again; 0 if it got all that it wanted.
            short_ms: u32,
        },
    }

    /// `NodeStatus` is the load and version of a node; each of its replies carries one.
    #[derive(Copy, Default, Eq)]
    pub struct NodeStatus {
        /// Slots in use.
        pub in_use: u32,
        /// Limit on slots in use.
        pub limit: u32,
        /// Requests that wait for a slot.
        pub queued: u32,
        /// Mean time for which a request holds a slot, in microseconds.
        pub hold_micros: u32,
        /// Milliseconds until the limit on the rate of the upstream allows another request.
        pub rate_wait_ms: u32,
        /// Whether the node is draining.
        pub is_leaving: bool,
        /// Version of the document in force; 0 if there is none.
        pub version: DocumentVersion,
        /// Latest store revision that the node has applied or heard of.
        pub revision: u64,
    }
}

impl RelayResponse {
    /// Returns whether the response is a server error.
    #[must_use]
    pub const fn is_failure(&self) -> bool {
        self.status >= SERVER_ERROR_MIN
    }

    /// Returns whether the receiver had memory for the whole response.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        !self.fields.is_dropped() && !self.body.is_dropped()
    }
}

impl RelayRequest {
    /// Returns whether the request is a call made by a running request.
    #[must_use]
    pub const fn is_nested(&self) -> bool {
        self.calls_before.is_some()
    }

    /// Returns whether the receiver had memory for the whole request.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        !self.fields.is_dropped() && !self.body.is_dropped()
    }
}

impl CallFailure {
    /// Returns whether a call failed although instances were reached, so that a retry of the parent
    /// request would fail as well.
    #[must_use]
    pub const fn is_exhausted(self) -> bool {
        matches!(self, Self::Failed | Self::Starved)
    }
}
