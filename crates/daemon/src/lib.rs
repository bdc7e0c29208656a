//! `lagoonshore-daemon` wires the layers into one node process.

pub mod admin_door;
pub mod admission_gate;
pub mod bound_call;
pub mod call_router;
pub mod digest_exchange;
pub mod error;
pub mod events;
pub mod explanation;
pub mod inbound_door;
pub mod keyed_entry;
pub mod keyed_server;
pub mod keyed_work;
pub mod logging;
pub mod node;
pub mod node_process;
pub mod outbound_door;
pub mod peer_door;
pub mod platform_watch;
pub mod policy_keeper;
pub mod policy_link;
pub mod refusals;
pub mod request_server;
pub mod state_dump;

pub use error::{DaemonError, Result};
