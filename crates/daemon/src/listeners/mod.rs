//! The listeners of a node: for callers, the local upstream, other nodes and operators.

pub mod admin_listener;
pub mod inbound_listener;
pub mod outbound_listener;
pub mod peer_listener;
