//! Forwarding of requests from the instance where they begin to an upstream of their service.

mod attempt_record;
mod attempt_sender;
mod call_progress;
mod cancellation_guard;
mod latency_table;
mod link_calls;
mod link_monitor;
mod outcome_record;
pub mod peer_link;
pub mod peer_links;
mod peer_observations;
pub mod peer_table;
mod reply_handling;
pub mod request_forwarder;
mod request_message;
mod retry_limit;
pub mod routed_request;
mod suspect_lookup;
mod target_selector;
mod upstream_notices;
