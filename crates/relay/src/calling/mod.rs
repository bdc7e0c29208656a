//! The side of the instance where a request began.

mod call_progress;
mod latency_book;
mod leaving_note;
pub mod peer_book;
pub mod peer_links;
pub mod request_caller;
pub mod routed_request;
mod send_record;
mod sent_message;
