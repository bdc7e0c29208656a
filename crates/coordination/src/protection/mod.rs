//! Protection of the upstream: its health, its crashes and the requests suspected of causing them.

pub mod crash_detector;
pub mod crash_set;
pub mod fingerprint;
mod run_history;
pub mod suspects;
pub mod trial_choice;
pub mod upstream_health;
