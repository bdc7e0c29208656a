//! The door for other nodes.

use crate::{digest_exchange, node::SharedNode, request_server};

use lagoonshore_protocol::{
    messages::{CallReply, CallRequest, NodeDigest, PullReply, PullRequest},
    peer_service::PeerService,
};
use tarpc::context::Context;
use tokio::time::Instant;

/// `PeerDoor` serves the calls of other nodes.
#[derive(Clone)]
pub struct PeerDoor {
    node: SharedNode,
}

impl PeerDoor {
    /// Creates the door of `node`.
    #[must_use]
    pub const fn new(node: SharedNode) -> Self {
        Self { node }
    }
}

impl PeerService for PeerDoor {
    async fn call(self, context: Context, request: CallRequest) -> CallReply {
        let deadline = Instant::from_std(context.deadline);
        request_server::serve(&self.node, request, deadline).await
    }

    async fn exchange(self, _: Context, digest: NodeDigest) -> Option<NodeDigest> {
        digest_exchange::receive(&self.node, digest)
    }

    async fn pull(self, _: Context, request: PullRequest) -> PullReply {
        digest_exchange::hand_over(&self.node, &request)
    }
}
