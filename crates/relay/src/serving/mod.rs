//! The side beside the upstream that runs a request.

pub mod crash_watch;
pub mod running_table;
pub mod slot_gate;
pub mod upstream_server;
