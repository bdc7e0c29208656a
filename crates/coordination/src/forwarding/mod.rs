//! Decisions of the forwarding path: which requests get a slot, which service takes a request, and
//! how many retries the fleet may send.

pub mod account_shares;
pub mod arrival_budget;
pub mod call_needs;
pub mod caller_access;
pub mod circuit_breaker;
pub mod document_proof;
pub mod link_check;
pub mod pending_removals;
pub mod proof_sources;
pub mod rate_limiter;
pub mod read_schedule;
pub mod request_history;
pub mod retry_allowance;
pub mod retry_priority;
pub mod retry_quota;
pub mod return_table;
pub mod route_limiter;
pub mod sliding_window;
pub mod slot_queue;
pub mod stop_schedule;
pub mod store_watchers;
pub mod traffic_split;
pub mod wait_plan;
mod waiting_list;
pub mod zone_health;
