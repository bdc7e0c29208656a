//! The side beside the upstream that runs a request.

mod entry_gate;
pub mod own_upstream;
mod refusals;
pub(crate) mod repeat_gate;
pub mod running_table;
mod sent_head;
pub mod slot_gate;
pub mod suspect_book;
mod upstream_exchange;
pub mod upstream_server;
