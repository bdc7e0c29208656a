//! Quotas of client accounts: the gate for requests, and the counters; see
//! [`quota`](lagoonshore_coordination::quota).

mod account_hand;
mod document_fetch;
pub mod fleet_counters;
pub mod quota_counters;
pub mod quota_gate;
pub mod quota_log;
pub mod quota_view;
