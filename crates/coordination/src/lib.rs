//! `lagoonshore-coordination` holds the decisions of a node: admission, routing, retries and the
//! life cycle of a request. Time and random numbers are passed in; nothing here performs I/O.

pub mod admission;
pub mod call_table;
pub mod child_clock;
pub mod drain;
pub mod error;
pub mod level_control;
pub mod level_table;
pub mod outcome;
pub mod request_life;
pub mod retries;
pub mod routing;

pub use error::{CoordinationError, Result};
