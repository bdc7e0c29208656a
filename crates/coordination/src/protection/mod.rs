//! Protection of the upstream: its health, crashes, and requests that cause them.

pub mod crash_detector;
pub mod fingerprint;
pub mod suspects;
pub mod upstream_health;
