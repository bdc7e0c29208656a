//! Admission control: which requests get a slot, and the admission level reported to callers.

pub mod admission_control;
pub mod level_control;
pub mod level_table;
pub mod refusal_counters;
