//! Messages between nodes.

use crate::headers::HeaderField;

use bytes::Bytes;
use compact_str::CompactString;
pub use lagoonshore_coordination::protection::suspects::SuspectReport;
use lagoonshore_coordination::{
    at_most_once::message_age::ClockStamp,
    gossip::policy_digest::{ListVersion, PolicyDigest},
    request::request_lifecycle::CallRefusal,
};
use lagoonshore_state::{
    admission_level::AdmissionLevel,
    data_type,
    ids::{CallerHash, IncarnationId, ServiceName},
    instance_table::InstanceRecord,
    units::{RequestImportance, TokenCount},
};

data_type! {
    /// `CallRequest` asks a node to have its upstream serve a request.
    /// The deadline travels in the context of the call.
    pub struct CallRequest {
        /// Called service.
        pub service: ServiceName,
        /// HTTP method.
        pub method: CompactString,
        /// Path with query.
        pub path: CompactString,
        /// Header fields to relay.
        pub headers: Vec<HeaderField>,
        /// Body.
        pub body: Bytes,
        /// Importance given at the entry.
        pub importance: RequestImportance,
        /// Caller at the entry.
        pub caller: CallerHash,
        /// Retry tokens granted to the called side.
        pub tokens: TokenCount,
        /// Key under which the work runs at most once; none for idempotent work.
        pub key: Option<ExecutionKey>,
        /// When and by whom the message was sent; set by the link.
        pub stamp: MessageStamp,
        /// Crashes that the calling node knows the request to have caused or been beside.
        pub crashes: u8,
    }

    /// `ExecutionKey` says which node may run a request, and under which key.
    #[derive(Eq)]
    pub enum ExecutionKey {
        /// The home of an idempotency key may run it.
        Home(CompactString),
        /// The sender bound the call to one executor.
        Bound {
            /// Key of the call.
            key: CompactString,
            /// The only incarnation that may run it.
            executor: IncarnationId,
        },
    }

    /// `MessageStamp` says when a message was sent, on the clock of its sender.
    #[derive(Copy, Default, Eq)]
    pub struct MessageStamp {
        /// Incarnation that sent the message.
        pub sender: IncarnationId,
        /// Clock of the sender.
        pub sent: ClockStamp,
    }

    /// `UpstreamResponse` is a complete answer of an upstream.
    pub struct UpstreamResponse {
        /// HTTP status.
        pub status: u16,
        /// Header fields to relay.
        pub headers: Vec<HeaderField>,
        /// Body.
        pub body: Bytes,
    }

    /// `CallResult` is what became of a call.
    pub enum CallResult {
        /// The upstream answered.
        Answered(UpstreamResponse),
        /// There is no answer of an upstream.
        Refused(CallRefusal),
    }

    /// `CallReply` answers a [`CallRequest`].
    pub struct CallReply {
        /// What became of the call.
        pub result: CallResult,
        /// Retry tokens that were not spent.
        pub tokens: TokenCount,
        /// Load of the node that answers.
        pub load: LoadReport,
        /// What the node that answers holds against the request.
        pub suspect: Option<SuspectReport>,
    }

    /// `LoadReport` is the load of a node, carried by each of its replies.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// Requests in progress.
        pub in_progress: u32,
        /// Limit on requests in progress.
        pub limit: u32,
        /// Requests that wait.
        pub queued: u32,
        /// Whether the node is leaving.
        pub draining: bool,
        /// Strictest admission level of the node and of what it calls for such requests.
        pub level: AdmissionLevel,
    }
    /// `NodeDigest` is what nodes tell each other without being asked.
    pub struct NodeDigest {
        /// The node that sends the digest.
        pub sender: InstanceRecord,
        /// Whether its last read of the platform succeeded.
        pub reads_platform: bool,
        /// Policies and lists that it holds.
        pub policy: PolicyDigest,
        /// Requests that crashed upstreams.
        pub suspects: Vec<SuspectReport>,
    }

    /// `PullRequest` asks for what a digest offered.
    #[derive(Default, Eq)]
    pub struct PullRequest {
        /// Services whose policy records are wanted.
        pub records: Vec<ServiceName>,
        /// Services whose instance lists are wanted.
        pub lists: Vec<ServiceName>,
    }

    /// `PullReply` answers a [`PullRequest`] as far as the node holds what it asks for.
    #[derive(Default)]
    pub struct PullReply {
        /// Policy records, byte by byte as they were published.
        pub records: Vec<RecordBytes>,
        /// Instance lists.
        pub lists: Vec<InstanceList>,
    }

    /// `RecordBytes` is a policy record.
    #[derive(Eq)]
    pub struct RecordBytes {
        /// Service that the record is for.
        pub service: ServiceName,
        /// The record, as it was published.
        pub bytes: Bytes,
    }

    /// `InstanceList` is the platform's list of one service as a node holds it.
    pub struct InstanceList {
        /// State of the list.
        pub version: ListVersion,
        /// Its instances.
        pub instances: Vec<InstanceRecord>,
    }
}
