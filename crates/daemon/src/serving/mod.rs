//! Serving on the local upstream: admission, dispatch and at-most-once execution.

pub mod dispatch_tracker;
pub mod dispatched_request;
pub mod keyed_ingress;
pub mod keyed_server;
pub mod request_server;
