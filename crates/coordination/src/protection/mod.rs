//! Protection of the upstream: its health, its crashes and the requests suspected of causing them.

pub mod crash_detector;
pub mod fingerprint;
pub mod suspects;
pub mod upstream_health;
