//! The listener for other nodes.

use crate::{
    calling::refusals, distribution::digest_exchange, node::SharedNode, protection::crash_response,
    serving::keyed_server,
};

use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_protocol::{
    messages::{
        CallReply, CallRequest, CallResult, MessageStamp, NodeDigest, PullReply, PullRequest,
        SuspectReport,
    },
    peer_service::PeerService,
};
use lagoonshore_state::ids::IncarnationId;
use lagoonshore_transport::tarpc_link;
use tarpc::context::Context;
use tokio::time::Instant;

/// `PeerListener` implements the peer service on a node.
#[derive(Clone)]
pub struct PeerListener {
    node: SharedNode,
}

impl PeerListener {
    /// Creates the service of `node`.
    #[must_use]
    pub const fn new(node: SharedNode) -> Self {
        Self { node }
    }

    fn refuse_stale(&self, request: &CallRequest) -> CallReply {
        CallReply {
            result: CallResult::Refused(refusals::on_arrival(RefusalReason::Stale)),
            tokens: request.tokens,
            load: self.node.load_for(&request.method, &request.path),
            suspect: None,
        }
    }
}

impl PeerService for PeerListener {
    async fn identify(self, _: Context, stamp: MessageStamp) -> IncarnationId {
        self.node.executions.age(stamp);
        self.node.incarnation
    }

    async fn call(self, context: Context, request: CallRequest) -> CallReply {
        let _active = self.node.protection.active.start_request();
        // The message carries the time that remained when it was sent, so its time in transit is
        // subtracted.
        let age = self.node.executions.age(request.stamp);
        let deadline = tarpc_link::deadline_of(&context);
        match deadline.checked_sub(age) {
            Some(deadline) if deadline > Instant::now() => {
                keyed_server::serve(&self.node, request, deadline).await
            }
            _ => self.refuse_stale(&request),
        }
    }

    async fn exchange(self, _: Context, digest: NodeDigest) -> Option<NodeDigest> {
        digest_exchange::receive(&self.node, digest)
    }

    async fn pull(self, _: Context, request: PullRequest) -> PullReply {
        digest_exchange::serve_pull(&self.node, &request)
    }

    async fn leaving(self, _: Context, seen: bool) -> bool {
        let mut leaving = self.node.protection.leaving.subscribe();
        let found = leaving.wait_for(|held| *held != seen).await;
        // The sender lives as long as the node, so `wait_for` does not fail.
        found.map_or(true, |held| *held)
    }

    async fn suspects(self, _: Context, reports: Vec<SuspectReport>) -> Vec<SuspectReport> {
        crash_response::merge(&self.node, reports.iter().cloned());
        let suspects = self.node.protection.suspects.borrow();
        let held = |report: SuspectReport| suspects.report(Instant::now(), report.fingerprint);
        reports.into_iter().filter_map(held).collect()
    }
}
