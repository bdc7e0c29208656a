//! The door for other nodes.

use crate::{crash_response, node::SharedNode, request_server};

use lagoonshore_protocol::{
    messages::{CallReply, CallRequest, SuspectReport},
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
        let _mark = self.node.guard.work.enter();
        let deadline = Instant::from_std(context.deadline);
        request_server::serve(&self.node, request, deadline).await
    }

    async fn leaving(self, _: Context, seen: bool) -> bool {
        let mut leaving = self.node.guard.leaving.subscribe();
        let found = leaving.wait_for(|held| *held != seen).await;
        // The sender lives as long as the node, so there is always a value.
        found.map_or(true, |held| *held)
    }

    async fn suspects(self, _: Context, reports: Vec<SuspectReport>) -> Vec<SuspectReport> {
        crash_response::merge(&self.node, reports.iter().copied());
        let suspects = self.node.guard.suspects.borrow();
        let held = |report: SuspectReport| suspects.report(Instant::now(), report.fingerprint);
        reports.into_iter().filter_map(held).collect()
    }
}
