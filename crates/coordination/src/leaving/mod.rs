//! When a node takes work: readiness, drains, pauses of the process.

pub mod drain;
pub mod pause_watch;
pub mod readiness;
