//! Observability: logging, metrics, state dump and request explanations.

pub mod explanation;
pub mod logging;
pub mod node_metrics;
pub mod protection_dump;
pub mod state_dump;
