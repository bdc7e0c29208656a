//! What nodes know of the fleet: policies, instances, and how the news spreads.

pub mod digest_schedule;
pub mod membership;
pub mod platform_watchers;
pub mod policy_digest;
pub mod policy_distribution;
