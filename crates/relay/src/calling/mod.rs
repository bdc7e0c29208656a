//! The side of the instance where a request began.

pub mod peer_book;
pub mod peer_links;
pub mod request_caller;
