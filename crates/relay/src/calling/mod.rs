//! Forwarding of requests from the instance where they begin to an upstream of their service.

mod attempt_record;
mod call_progress;
mod cancellation_guard;
mod latency_table;
pub mod peer_link;
pub mod peer_links;
pub mod peer_table;
pub mod request_forwarder;
mod request_message;
pub mod routed_request;
