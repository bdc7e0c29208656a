//! The service that the nodes of a forwarding fleet offer to each other over tarpc.

// The attribute macro generates items without doc comments.
#![allow(missing_docs)]

use crate::relay_messages::{FleetSnapshot, NodeStatus, RelayReply, RelayRequest};

use lagoonshore_state::route_table::FleetDocument;

use lagoonshore_coordination::protection::suspects::SuspectReport;

/// `RelayService` is what a node does for other nodes.
#[tarpc::service]
pub trait RelayService {
    /// Has the upstream of the node run a request.
    async fn relay(request: RelayRequest) -> RelayReply;
    /// Tells that the node is alive, and its state.
    async fn probe() -> NodeStatus;
    /// Hands over the document in force.
    async fn document() -> Option<FleetDocument>;
    /// Tells a node that knows no document yet what the sender knows.
    async fn teach(snapshot: FleetSnapshot);
    /// Tells the node of requests that crash upstreams.
    async fn suspects(reports: Vec<SuspectReport>);
}
