//! Protection of the upstream: health probes, crash suspects and exclusive runs.

pub mod crash_response;
pub mod exclusive_gate;
pub mod health_probe;
pub mod node_protection;
pub mod suspect_gate;
pub mod upstream_probe;
