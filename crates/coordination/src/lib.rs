//! `lagoonshore-coordination` holds the decisions of a node: admission, routing, retries and the
//! life cycle of a request. Time and random numbers are passed in; nothing here performs I/O.

pub mod admission;
pub mod call_table;
pub mod crash_watch;
pub mod drain;
pub mod error;
pub mod fingerprint;
pub mod outcome;
pub mod pause_watch;
pub mod request_life;
pub mod retries;
pub mod routing;
pub mod suspects;
pub mod upstream_health;

pub use error::{CoordinationError, Result};
