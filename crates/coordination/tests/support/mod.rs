//! Fakes and checkers for scenarios of admission.

// Each test file uses its own part of them.
#![allow(dead_code, unreachable_pub)]

pub mod chain_model;
pub mod overload_checker;
