//! `lagoonshore-state` holds the data that a node decides upon: policies, queues, limits,
//! counters and the instance table. Nothing here performs I/O or reads a clock.

#[macro_use]
mod macros;

pub mod counters;
pub mod error;
pub mod ids;
pub mod instance_table;
pub mod limit;
pub mod policy;
pub mod policy_set;
pub mod queue;
pub mod units;

pub use error::{Result, StateError};
