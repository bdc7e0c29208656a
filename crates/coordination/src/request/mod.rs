//! The lifecycle of a request, its outcome and its reason of refusal.

pub mod call_table;
pub mod outcome;
pub mod request_lifecycle;
