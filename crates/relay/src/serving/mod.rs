//! The side beside the upstream that runs a request.

pub mod own_upstream;
mod refusals;
mod run_marks;
pub mod running_table;
pub mod slot_gate;
pub mod upstream_server;
