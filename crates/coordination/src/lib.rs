//! `lagoonshore-coordination` holds the decisions of a node: admission, routing, retries and the
//! life cycle of a request. Time and random numbers are passed in; nothing here performs I/O.

pub mod admission;
pub mod at_most_once;
pub mod error;
pub mod forwarding;
pub mod gossip;
pub mod lifecycle;
pub mod protection;
pub mod request;
pub mod retries;
pub mod routing;

pub use error::{CoordinationError, Result};
