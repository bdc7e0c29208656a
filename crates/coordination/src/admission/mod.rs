//! Admission: who gets a slot, and the level of importance that callers learn.

pub mod admission_control;
pub mod level_control;
pub mod level_table;
pub mod refusal_counters;
