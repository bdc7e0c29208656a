//! What the node knows of the store, and how old that knowledge may be.

pub mod known_versions;
pub mod store_health;
