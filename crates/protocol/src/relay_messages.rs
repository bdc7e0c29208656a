//! Messages of the forwarding path.

use bytes::Bytes;
use compact_str::CompactString;
use lagoonshore_coordination::{
    protection::suspects::SuspectReport, request::outcome::RefusalReason,
};
use lagoonshore_state::{
    data_type,
    ids::{DocumentVersion, InstanceName, ServiceName},
    route_table::FleetDocument,
    units::RequestImportance,
    upstream_list::UpstreamRecord,
};

/// First status of answers by which an upstream fails a request (RFC 9110, section 15.6).
const SERVER_ERROR_MIN: u16 = 500;

data_type! {
    /// `RelayRequest` asks a node to have its upstream run a request.
    /// The deadline travels in the context of the call.
    // The flags are independent of each other: no two of them are states of one thing.
    #[allow(clippy::struct_excessive_bools)]
    pub struct RelayRequest {
        /// Id that the caller gave the request.
        pub id: CompactString,
        /// Service that it is for.
        pub service: ServiceName,
        /// Upstream that is to run it.
        pub instance: InstanceName,
        /// Service of the instance on which the request began.
        pub origin: ServiceName,
        /// HTTP method.
        pub method: CompactString,
        /// Path with query, byte for byte.
        pub target: CompactString,
        /// Header fields to pass on, as they stand in the message.
        pub fields: Bytes,
        /// Body.
        pub body: Bytes,
        /// Importance of the first request of its chain.
        pub importance: RequestImportance,
        /// Whether running it twice does the same as running it once.
        pub is_idempotent: bool,
        /// Calls that the run which makes it had made before; `None` if no run makes it.
        pub calls_before: Option<u32>,
        /// Kind of request, for learning how long it takes.
        pub kind: u64,
        /// Milliseconds within which an answer is of full use.
        pub aim_ms: u32,
        /// Longest wait for a slot, in milliseconds.
        pub wait_ms: u32,
        /// Whether its caller came back with it after an earlier try.
        pub is_returning: bool,
        /// Whether it is sent again, or is a call of a run that was.
        pub is_repeat: bool,
        /// Whether an upstream may have read it before.
        pub is_resent: bool,
        /// Crashes that the sender knows the request to have caused.
        pub crashes: u8,
    }

    /// `RelayResponse` is a whole answer of an upstream.
    pub struct RelayResponse {
        /// HTTP status.
        pub status: u16,
        /// Header fields to pass on, as they stand in the message.
        pub fields: Bytes,
        /// Body.
        pub body: Bytes,
    }

    /// `RelayRefusal` stands in place of an answer.
    #[derive(Copy, Eq)]
    pub struct RelayRefusal {
        /// Why there is no answer.
        pub reason: RefusalReason,
        /// How far the request got.
        pub reach: DeliveryStatus,
        /// Milliseconds after which trying again can help.
        pub retry_ms: u32,
        /// Whether what is full lies further down, so that another instance is no better.
        pub is_below: bool,
    }

    /// `DeliveryStatus` says how far a request without an answer got.
    #[derive(Copy, Eq)]
    pub enum DeliveryStatus {
        /// No byte of it reached an upstream.
        Unsent,
        /// An upstream read it and said that it does not run it.
        Rejected,
        /// It may have run.
        Unknown,
    }

    /// `RelayResult` is what became of a request.
    pub enum RelayResult {
        /// The upstream answered.
        Answered(RelayResponse),
        /// There is no answer.
        Refused(RelayRefusal),
    }

    /// `RelayReply` answers a [`RelayRequest`].
    pub struct RelayReply {
        /// What became of the request.
        pub result: RelayResult,
        /// State of the node that replies.
        pub news: NodeStatus,
        /// Milliseconds that the request and the calls of its run waited for slots.
        pub wait_ms: u32,
        /// Calls that its run made, here and below.
        pub calls: u32,
        /// The worst that befell one of these calls.
        pub trouble: CallFailure,
        /// What the node holds against the request.
        pub suspect: Option<SuspectReport>,
    }

    /// `CallFailure` is the worst that befell the calls of a run, from bad to worse.
    #[derive(Copy, Default, Eq, PartialOrd, Ord)]
    pub enum CallFailure {
        /// All were served.
        #[default]
        None,
        /// One found no instance that could be reached.
        CutOff,
        /// One was not served by those that were asked.
        Failed,
        /// One was refused for want of slots.
        Starved,
    }

    /// `FleetSnapshot` is all that a node knows of the fleet, for one that has just started and
    /// cannot read the store.
    pub struct FleetSnapshot {
        /// Document in force.
        pub document: FleetDocument,
        /// Listed upstreams.
        pub upstreams: Vec<UpstreamRecord>,
    }

    /// `NodeStatus` is what a node tells with each of its replies.
    #[derive(Copy, Default, Eq)]
    pub struct NodeStatus {
        /// Slots in use.
        pub in_use: u32,
        /// Slots in all.
        pub limit: u32,
        /// Requests that wait.
        pub queued: u32,
        /// Whether the node is leaving.
        pub is_leaving: bool,
        /// Version of the document in force.
        pub version: DocumentVersion,
        /// Newest change of the store that the node has seen.
        pub revision: u64,
    }
}

impl RelayResponse {
    /// Tells whether the upstream failed the request by this answer.
    #[must_use]
    pub const fn is_failure(&self) -> bool {
        self.status >= SERVER_ERROR_MIN
    }
}

impl RelayRequest {
    /// Tells whether it is a call that a running request makes.
    #[must_use]
    pub const fn is_nested(&self) -> bool {
        self.calls_before.is_some()
    }
}

impl CallFailure {
    /// Tells whether the instances that were asked for a call did not serve it, so that it fares no
    /// better if the run is repeated.
    #[must_use]
    pub const fn is_exhausted(self) -> bool {
        matches!(self, Self::Failed | Self::Starved)
    }
}
