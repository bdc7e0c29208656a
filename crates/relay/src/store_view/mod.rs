//! What the node knows of the store, and how old that knowledge may be.

pub mod known_versions;
pub(crate) mod store_follower;
pub mod store_health;
