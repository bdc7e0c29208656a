//! The side beside the upstream: admission, the hand-over, and work that runs once.

pub mod admission_gate;
pub mod hand_over;
pub mod hand_over_mark;
pub mod keyed_entry;
pub mod keyed_server;
pub mod keyed_work;
pub mod request_server;
