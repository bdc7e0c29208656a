//! `lagoonshore-state` holds the data that the decisions of a node are based on: policies, queues,
//! limits, counters, routes and the instance table. Nothing in this crate performs I/O or reads a
//! clock.

#[macro_use]
mod macros;

pub mod account;
pub mod adaptive_limit;
pub mod admission_level;
pub mod counters;
pub mod error;
pub mod ids;
pub mod instance_table;
pub mod key_digest;
pub mod key_index;
pub mod limit;
pub mod policy;
pub mod policy_set;
pub mod queue;
pub mod route_table;
pub mod service_cost;
pub mod units;
pub mod upstream_list;

pub use error::{Result, StateError};
