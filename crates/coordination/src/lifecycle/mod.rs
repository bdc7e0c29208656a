//! When a node takes work: readiness, drains, pauses of the process.

pub mod drain;
pub mod pause_detector;
pub mod readiness;
