//! Readiness and the planned stop of a node.

pub mod planned_stop;
pub mod ready_listener;
pub mod request_cutoff;
