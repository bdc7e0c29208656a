//! The side beside the upstream that runs a request.

mod entry_gate;
pub mod own_upstream;
mod refusals;
mod run_marks;
pub mod running_table;
mod sent_head;
pub mod slot_gate;
pub mod upstream_server;
