//! Policies and instances: the platform, and what nodes tell each other.

pub mod digest_exchange;
pub mod gossip_state;
pub mod platform_watch;
pub mod policy_offers;
