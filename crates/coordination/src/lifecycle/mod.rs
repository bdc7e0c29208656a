//! The lifecycle of a node: readiness, draining and detection of process pauses.

pub mod drain;
pub mod drain_state;
pub mod pause_detector;
pub mod readiness;
