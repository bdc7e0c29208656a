//! The listener for other nodes: implements [`RelayService`].

use crate::{
    calling::peer_link, directory::FleetDirectory, quota::quota_counters::QuotaCounters,
    serving::upstream_server::UpstreamServer, store_view::document_proofs::read_clocks,
};

use actix_rt::net::TcpListener;
use lagoonshore_coordination::protection::suspects::SuspectReport;
use lagoonshore_protocol::{
    relay_messages::{
        FleetSnapshot, NodeStatus, RelayReply, RelayRequest, StoreView, TokenAsk, TokenGrant,
    },
    relay_service::RelayService,
};
use lagoonshore_state::{route_table::FleetDocument, units::whole_millis};
use lagoonshore_transport::{memory_budget::MemoryBudget, peer_server, tarpc_link};
use std::{rc::Rc, time::Duration};
use tarpc::context::Context;

/// Concurrent links from other nodes.
const LINKS_MAX: usize = 1200;

/// `PeerListener` serves the calls of other nodes.
#[derive(Clone)]
pub struct PeerListener {
    server: Rc<UpstreamServer>,
    directory: Rc<FleetDirectory>,
    counters: Rc<QuotaCounters>,
    budget: MemoryBudget,
}

impl PeerListener {
    /// Creates the listener of a node. The requests share the memory of `budget`.
    #[must_use]
    pub const fn new(
        server: Rc<UpstreamServer>,
        directory: Rc<FleetDirectory>,
        counters: Rc<QuotaCounters>,
        budget: MemoryBudget,
    ) -> Self {
        Self {
            server,
            directory,
            counters,
            budget,
        }
    }

    /// Serves other nodes until the future is dropped.
    pub async fn serve_links(self, listener: TcpListener) {
        let limits = peer_link::link_limits(self.budget.clone());
        let serve = move |stream| tarpc_link::serve(stream, limits.clone(), self.clone().serve());
        peer_server::accept_links(listener, LINKS_MAX, serve).await;
    }
}

impl PeerListener {
    /// Waits for something that the nodes that follow this one should know at once: a newer revision
    /// than `seen`, or a newer proof of the document if keys need one.
    async fn wait_for_view(&self, seen: u64) {
        let is_proof_needed = self.directory.proof_bounds().is_some();
        tokio::select! {
            () = self.directory.versions().wait_for_newer(seen) => {}
            () = self.directory.proofs().wait_for_renewal(), if is_proof_needed => {}
        }
    }
}

impl RelayService for PeerListener {
    async fn relay(self, context: Context, request: RelayRequest) -> RelayReply {
        let deadline = tarpc_link::deadline_of(&context);
        self.server.serve(request, deadline).await
    }

    async fn probe(self, _: Context) -> NodeStatus {
        self.server.node_status()
    }

    async fn store_view(self, _: Context, seen: u64, wait_ms: u32) -> StoreView {
        let versions = self.directory.versions();
        versions.record_known(seen);
        let wait = Duration::from_millis(wait_ms.into());
        let started = read_clocks();
        // Without a change, the answer shows that the node is alive and reads the store.
        let _ = tokio::time::timeout(wait, self.wait_for_view(seen)).await;
        let version = self.directory.version();
        let bounds = self.directory.proof_bounds();
        StoreView {
            revision: versions.known_revision(),
            version,
            read_age_ms: whole_millis(self.directory.store().read_age()),
            held_ms: whole_millis(read_clocks().shortest_since(started)),
            proof: bounds.and_then(|_| self.directory.proofs().report(version)),
        }
    }

    async fn document(self, _: Context) -> Option<FleetDocument> {
        self.directory
            .document()
            .map(|document| (*document).clone())
    }

    async fn teach(self, _: Context, snapshot: FleetSnapshot) {
        self.directory.merge_snapshot(snapshot);
    }

    async fn take_tokens(self, _: Context, ask: TokenAsk) -> TokenGrant {
        self.counters.serve(ask).await
    }

    async fn suspects(self, _: Context, reports: Vec<SuspectReport>) {
        self.server.suspects().merge(&reports);
    }
}
