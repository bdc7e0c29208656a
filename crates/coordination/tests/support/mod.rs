//! Model and checker for admission scenarios.

// Each test file uses only part of them.
#![allow(dead_code, unreachable_pub)]

pub mod chain_model;
pub mod overload_checker;
