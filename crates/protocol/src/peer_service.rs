//! Service between nodes over tarpc.

// The attribute macro generates items without doc comments.
#![allow(missing_docs)]

use crate::messages::{
    CallReply, CallRequest, MessageStamp, NodeDigest, PullReply, PullRequest, SuspectReport,
};

use lagoonshore_state::ids::IncarnationId;

/// `PeerService` is the interface that a node offers to its peers.
#[tarpc::service]
pub trait PeerService {
    /// Returns the incarnation of the node; the first call on every link.
    async fn identify(stamp: MessageStamp) -> IncarnationId;
    /// Dispatches a request to the upstream of the node.
    async fn call(request: CallRequest) -> CallReply;

    /// Exchanges digests; `None` if the node did not accept the digest.
    async fn exchange(digest: NodeDigest) -> Option<NodeDigest>;

    /// Returns records and lists that the node holds.
    async fn pull(request: PullRequest) -> PullReply;
    /// Long poll: returns whether the node is draining as soon as that differs from `seen`. A node
    /// keeps one such call open on each link to a peer, so that it sees a drain at once.
    async fn leaving(seen: bool) -> bool;

    /// Reports requests suspected of crashing upstreams; returns what the node knows of the same
    /// requests.
    async fn suspects(reports: Vec<SuspectReport>) -> Vec<SuspectReport>;
}
