//! The side beside the upstream: admission, the hand-over, and work that runs once.

pub mod admission_gate;
pub mod dispatch_tracker;
pub mod dispatched_request;
pub mod keyed_executions;
pub mod keyed_ingress;
pub mod keyed_server;
pub mod request_server;
