//! `lagoonshore-transport` contains the network I/O of a node: HTTP listeners, the upstream client,
//! links between nodes and the platform reader; and its process signals and metrics recorder.

mod arrival_table;
pub mod body_memory;
pub mod close_signal;
pub mod error;
mod frame_reader;
pub mod http_listener;
pub mod leaving_watch;
pub mod link_transport;
pub mod memory_budget;
pub mod memory_report;
pub mod metrics_recorder;
pub mod peer_link;
pub mod peer_server;
pub mod platform_reader;
pub mod running_timeout;
pub mod signals;
pub mod tarpc_link;
pub mod upstream_client;
mod upstream_pool;
pub mod write_queue;

pub use error::{Result, TransportError};
