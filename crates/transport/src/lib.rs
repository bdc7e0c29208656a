//! `lagoonshore-transport` moves bytes: HTTP doors, the client of the upstream, links between
//! nodes, the platform reader and process signals.

pub mod close_signal;
pub mod error;
pub mod http_listener;
pub mod leaving_watch;
pub mod metrics_recorder;
pub mod peer_link;
pub mod peer_server;
pub mod platform_reader;
pub mod signals;
pub mod tarpc_link;
pub mod upstream_client;
mod upstream_pool;

pub use error::{Result, TransportError};
