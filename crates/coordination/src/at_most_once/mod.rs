//! At-most-once execution: idempotency keys, their homes, and the ledger of executed keys.

pub mod child_key;
pub mod child_timer;
pub mod execution_ledger;
pub mod executor_binding;
pub mod idempotency_key;
pub mod key_home;
pub mod message_age;
