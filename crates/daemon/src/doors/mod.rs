//! The doors of a node: callers, other nodes and operators.

pub mod admin_door;
pub mod inbound_door;
pub mod outbound_door;
pub mod peer_door;
