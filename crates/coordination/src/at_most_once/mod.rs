//! Work that runs at most once: keys, their homes, and what a home remembers.

pub mod child_key;
pub mod child_timer;
pub mod execution_ledger;
pub mod executor_binding;
pub mod idempotency_key;
pub mod key_home;
pub mod message_age;
