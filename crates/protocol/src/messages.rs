//! Messages between nodes.

use crate::headers::HeaderField;

use bytes::Bytes;
use compact_str::CompactString;
pub use lagoonshore_coordination::protection::{crash_set::CrashReport, suspects::SuspectReport};
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
    /// `CallRequest` asks a node to dispatch a request to its upstream.
    /// The deadline is carried by the tarpc context of the call.
    pub struct CallRequest {
        /// Service that is called.
        pub service: ServiceName,
        /// HTTP method.
        pub method: CompactString,
        /// Path with query.
        pub path: CompactString,
        /// Header fields to forward.
        pub headers: Vec<HeaderField>,
        /// Body.
        pub body: Bytes,
        /// Importance given by the node at which the request entered.
        pub importance: RequestImportance,
        /// Hash of the caller, taken by the node at which the request entered.
        pub caller: CallerHash,
        /// Retry tokens that the called node may spend.
        pub tokens: TokenCount,
        /// Key under which the request runs at most once; `None` for an idempotent request.
        pub key: Option<ExecutionKey>,
        /// Sender and send time; set by the link.
        pub stamp: MessageStamp,
        /// Upstream crashes known to the calling node during which the request was running.
        pub crashes: Vec<CrashReport>,
    }

    /// `ExecutionKey` determines which node may run a request, and under which key.
    #[derive(Eq)]
    pub enum ExecutionKey {
        /// Idempotency key; only its home node may run the request.
        Home(CompactString),
        /// The sender bound the call to one node.
        Bound {
            /// Key of the call.
            key: CompactString,
            /// The only incarnation that may run the request.
            executor: IncarnationId,
        },
    }

    /// `MessageStamp` is the sender of a message and its send time on the clock of the sender.
    #[derive(Copy, Default, Eq)]
    pub struct MessageStamp {
        /// Incarnation that sent the message.
        pub sender: IncarnationId,
        /// Send time on the clock of the sender.
        pub sent: ClockStamp,
    }

    /// `UpstreamResponse` is a complete response of an upstream.
    pub struct UpstreamResponse {
        /// HTTP status.
        pub status: u16,
        /// Header fields to forward.
        pub headers: Vec<HeaderField>,
        /// Body.
        pub body: Bytes,
    }

    /// `CallResult` is the result of a call.
    pub enum CallResult {
        /// The upstream responded.
        Answered(UpstreamResponse),
        /// No upstream response; says why and whether the request may have run.
        Refused(CallRefusal),
    }

    /// `CallReply` is the reply to a [`CallRequest`].
    pub struct CallReply {
        /// Result of the call.
        pub result: CallResult,
        /// Granted retry tokens that were not spent.
        pub tokens: TokenCount,
        /// Load of the replying node.
        pub load: LoadReport,
        /// Crashes of the request that the replying node knows of.
        pub suspect: Option<SuspectReport>,
    }

    /// `LoadReport` is the load of a node; each of its replies carries one.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// Requests in progress.
        pub in_progress: u32,
        /// Limit on requests in progress.
        pub limit: u32,
        /// Requests that wait for admission.
        pub queued: u32,
        /// Whether the node is draining.
        pub draining: bool,
        /// Strictest admission level of the node and of the services that it calls for requests of
        /// the same class.
        pub level: AdmissionLevel,
    }
    /// `NodeDigest` summarizes the state of a node; nodes exchange digests with random peers at
    /// intervals, and with more peers after a change.
    pub struct NodeDigest {
        /// Node that sends the digest.
        pub sender: InstanceRecord,
        /// Whether the sender can read the platform: `false` if its last read failed, `true` before its
        /// first read.
        pub reads_platform: bool,
        /// Versions of the policy records and instance lists that the sender holds.
        pub policy: PolicyDigest,
        /// Requests suspected of crashing upstreams.
        pub suspects: Vec<SuspectReport>,
    }

    /// `PullRequest` asks for records and lists announced in a digest.
    #[derive(Default, Eq)]
    pub struct PullRequest {
        /// Services whose policy records are wanted.
        pub records: Vec<ServiceName>,
        /// Services whose instance lists are wanted.
        pub lists: Vec<ServiceName>,
    }

    /// `PullReply` is the reply to a [`PullRequest`]; items that the node does not hold are absent.
    #[derive(Default)]
    pub struct PullReply {
        /// Policy records, byte for byte as published.
        pub records: Vec<RecordBytes>,
        /// Instance lists.
        pub lists: Vec<InstanceList>,
    }

    /// `RecordBytes` is a policy record that is not parsed.
    #[derive(Eq)]
    pub struct RecordBytes {
        /// Service that the record is for.
        pub service: ServiceName,
        /// The record, byte for byte as published.
        pub bytes: Bytes,
    }

    /// `InstanceList` is the instance list of one service, as last read from the platform.
    pub struct InstanceList {
        /// Service and version of the list.
        pub version: ListVersion,
        /// Instances of the service.
        pub instances: Vec<InstanceRecord>,
    }
}
