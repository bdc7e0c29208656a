//! The side of the instance where a request began.

mod call_progress;
mod latency_table;
mod leaving_note;
pub mod peer_links;
pub mod peer_table;
pub mod request_forwarder;
pub mod routed_request;
mod send_record;
mod sent_message;
