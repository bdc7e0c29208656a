//! Distribution of policies and instance lists, from the platform and between nodes.

pub mod digest_exchange;
pub mod platform_watch;
pub mod policy_offers;
