//! The side of the instance where a request began.

mod call_progress;
pub mod peer_book;
pub mod peer_links;
pub mod request_caller;
mod send_record;
