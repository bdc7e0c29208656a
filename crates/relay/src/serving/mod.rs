//! Execution of requests on the local upstream, the one beside the node.

mod announcements;
pub mod local_upstream;
pub(crate) mod refusals;
mod request_admission;
pub(crate) mod retry_gate;
mod route_gate;
mod run_records;
pub mod running_table;
mod slot_gate;
pub mod slot_limiter;
mod upstream_exchange;
mod upstream_parts;
mod upstream_request;
pub mod upstream_server;
