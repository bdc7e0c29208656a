//! Execution of requests on the upstream beside the node.

mod admission_control;
pub mod local_upstream;
mod refusals;
pub(crate) mod retry_gate;
pub mod running_table;
pub mod slot_limiter;
pub mod suspect_tracker;
mod upstream_exchange;
mod upstream_request;
pub mod upstream_server;
