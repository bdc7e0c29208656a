//! `lagoonshore-standin` takes the place of the platform, of upstreams and of callers in tests
//! and in the demo. It is never shipped.

// The stand-ins report to people only, so their errors are messages.
#![allow(clippy::missing_errors_doc, clippy::must_use_candidate)]

pub mod arguments;
pub mod caller;
pub mod caller_keys;
pub mod deployment;
pub mod paired;
pub mod platform;
pub mod report;
pub mod upstream;
