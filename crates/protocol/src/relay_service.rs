//! Service between the nodes of a forwarding fleet over tarpc.

// The attribute macro generates items without doc comments.
#![allow(missing_docs)]

use crate::relay_messages::{
    FleetSnapshot, NodeStatus, RelayReply, RelayRequest, StoreView, TokenAsk, TokenGrant,
};

use lagoonshore_state::route_table::FleetDocument;

use lagoonshore_coordination::protection::suspects::SuspectReport;

/// `RelayService` is the interface that a node offers to its peers.
#[tarpc::service]
pub trait RelayService {
    /// Dispatches a request to the upstream of the node.
    async fn relay(request: RelayRequest) -> RelayReply;
    /// Health check; returns the status of the node.
    async fn probe() -> NodeStatus;
    /// Returns what the node knows of the store as soon as that is newer than the revision `seen`, or
    /// after `wait_ms`.
    async fn store_view(seen: u64, wait_ms: u32) -> StoreView;
    /// Returns the document in force.
    async fn document() -> Option<FleetDocument>;
    /// Pushes the snapshot of the sender to a node that has no document yet.
    async fn teach(snapshot: FleetSnapshot);
    /// Takes tokens of the quota of an account from its counter.
    async fn take_tokens(ask: TokenAsk) -> TokenGrant;
    /// Reports requests suspected of crashing upstreams.
    async fn suspects(reports: Vec<SuspectReport>);
}
