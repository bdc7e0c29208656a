//! `lagoonshore-coordination` holds the decisions of a node: admission, routing, retries and the
//! life cycle of a request. Time and random numbers are passed in; nothing here performs I/O.

pub mod admission;
pub mod call_table;
pub mod child_clock;
pub mod child_key;
pub mod crash_watch;
pub mod digest_schedule;
pub mod drain;
pub mod error;
pub mod execution_ledger;
pub mod executor_binding;
pub mod fingerprint;
pub mod forwarding;
pub mod idempotency_key;
pub mod key_home;
pub mod level_control;
pub mod level_table;
pub mod membership;
pub mod message_age;
pub mod outcome;
pub mod pause_watch;
pub mod platform_watchers;
pub mod policy_digest;
pub mod policy_distribution;
pub mod readiness;
pub mod refusal_counters;
pub mod request_life;
pub mod retries;
pub mod routing;
pub mod suspects;
pub mod upstream_health;

pub use error::{CoordinationError, Result};
