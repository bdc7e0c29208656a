//! Decisions of the forwarding path: who gets a slot, which service takes a request, and how many
//! repeats the fleet may make.

pub mod arrival_budget;
pub mod call_breaker;
pub mod kind_pacer;
pub mod read_pace;
pub mod repeat_allowance;
pub mod repeat_bound;
pub mod slot_queue;
pub mod stop_schedule;
pub mod traffic_split;
pub mod vanished_entries;
pub mod window_parts;
pub mod zone_doubt;
