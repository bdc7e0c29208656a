//! Protection of the upstream: health probes, crash suspects and exclusive runs.

pub mod crash_response;
pub mod health_probe;
pub mod suspect_gate;
