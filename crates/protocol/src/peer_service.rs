//! The service that nodes offer to each other over tarpc.

// The attribute macro generates items without doc comments.
#![allow(missing_docs)]

use crate::messages::{
    CallReply, CallRequest, MessageStamp, NodeDigest, PullReply, PullRequest, SuspectReport,
};

use lagoonshore_state::ids::IncarnationId;

/// `PeerService` is what a node does for other nodes.
#[tarpc::service]
pub trait PeerService {
    /// Tells the incarnation of the node; opens every link.
    async fn identify(stamp: MessageStamp) -> IncarnationId;
    /// Has the upstream of the node serve a request.
    async fn call(request: CallRequest) -> CallReply;

    /// Tells the node what the sender holds, and learns what the node holds.
    async fn exchange(digest: NodeDigest) -> Option<NodeDigest>;

    /// Hands over records and lists that the node holds.
    async fn pull(request: PullRequest) -> PullReply;
    /// Returns whether the node is leaving, as soon as that differs from `seen`. A node that calls
    /// another keeps one such call open on its link, so that it learns of a drain at once.
    async fn leaving(seen: bool) -> bool;

    /// Tells the node of suspects and returns what it holds against the same requests.
    async fn suspects(reports: Vec<SuspectReport>) -> Vec<SuspectReport>;
}
