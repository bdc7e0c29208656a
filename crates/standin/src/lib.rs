//! `lagoonshore-standin` replaces the platform, upstreams and callers in tests, in benchmarks and in
//! the demo. It is not part of a release.

// Errors are messages for the terminal (`StandinResult`); no code distinguishes them.
#![allow(clippy::missing_errors_doc, clippy::must_use_candidate)]

pub mod arguments;
pub mod caller;
pub mod caller_keys;
pub mod deployment;
pub mod paired;
pub mod platform;
pub mod report;
pub mod upstream;
