//! What operators see: events, metrics, state and explanations.

pub mod events;
pub mod explanation;
pub mod guard_dump;
pub mod logging;
pub mod node_metrics;
pub mod state_dump;
