//! Protection of the upstream: its health, its crashes and the requests suspected of causing them; and
//! of the node: requests that arrive slowly, and whose place is given up for others.

pub mod connection_bound;
pub mod crash_detector;
pub mod crash_set;
pub mod fingerprint;
pub mod memory_reserve;
pub mod room_sharing;
mod run_history;
pub mod suspects;
pub mod transfer_progress;
pub mod trial_choice;
pub mod upstream_health;
