//! `lagoonshore-daemon` wires the layers into one node process.

pub mod admin_door;
pub mod admission_gate;
pub mod call_attempt;
pub mod call_router;
pub mod error;
pub mod events;
pub mod hedged_call;
pub mod inbound_door;
pub mod logging;
pub mod node;
pub mod node_process;
pub mod outbound_door;
pub mod peer_door;
pub mod platform_watch;
pub mod refusals;
pub mod request_server;
pub mod state_dump;

pub use error::{DaemonError, Result};
