//! Decisions of the forwarding path: who gets a slot, which service takes a request, and how many
//! repeats the fleet may make.

pub mod arrival_budget;
pub mod circuit_breaker;
pub mod pending_removals;
pub mod read_backoff;
pub mod retry_allowance;
pub mod retry_quota;
pub mod route_limiter;
pub mod slot_queue;
pub mod stop_schedule;
pub mod traffic_split;
pub mod window_parts;
pub mod zone_health;
