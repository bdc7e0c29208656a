//! How nodes learn the state of the fleet: policy records and instance lists spread by gossip.

pub mod digest_schedule;
pub mod membership;
pub mod platform_watchers;
pub mod policy_digest;
pub mod policy_distribution;
pub mod report_spread;
