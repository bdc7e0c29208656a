//! What the node knows of the store, and how old that knowledge may be.

pub mod document_proofs;
pub mod known_versions;
pub mod overlapping_reads;
pub(crate) mod proof_seeker;
pub(crate) mod store_follower;
pub mod store_health;
