//! The side beside the upstream that runs a request.

mod entry_gate;
pub mod own_upstream;
mod refusals;
pub(crate) mod retry_gate;
pub mod running_table;
mod sent_head;
pub mod slot_limiter;
pub mod suspect_tracker;
mod upstream_exchange;
pub mod upstream_server;
