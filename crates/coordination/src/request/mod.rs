//! The life cycle of a request and what became of it.

pub mod call_table;
pub mod outcome;
pub mod request_lifecycle;
