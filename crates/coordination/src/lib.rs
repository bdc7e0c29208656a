//! `lagoonshore-coordination` holds the decision logic of a node: admission control, routing,
//! retries, idempotent execution, draining and the request lifecycle. Time and random numbers are
//! passed in by the caller; nothing in this crate performs I/O.

pub mod admission;
mod age_weights;
pub mod at_most_once;
pub mod error;
pub mod forwarding;
pub mod gossip;
pub mod lifecycle;
mod moving_average;
pub mod placing;
pub mod protection;
pub mod quota;
pub mod request;
pub mod retries;
pub mod routing;

pub use error::{CoordinationError, Result};
