//! Quotas of client accounts, kept over all nodes without a coordinator.
//!
//! Each availability zone holds an equal part of a quota in a token bucket, kept by one node of the zone,
//! the counter. A node admits a request with a token that it took from the counter of its zone. A
//! counter that is short borrows from those of the other zones. `docs/design/quotas.md` derives the bound.

pub mod account_counter;
pub mod counter_cache;
pub mod counter_choice;
pub mod demand_meter;
pub mod heard_zones;
pub mod quota_rules;
pub mod quota_timeouts;
pub mod silent_counters;
pub mod token_bucket;
pub mod token_hand;
