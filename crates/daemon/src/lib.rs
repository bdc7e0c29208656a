//! `lagoonshore-daemon` wires the layers into one node process.

pub mod admin_door;
pub mod admission_gate;
pub mod bound_call;
pub mod call_attempt;
pub mod call_router;
pub mod crash_response;
pub mod digest_exchange;
pub mod error;
pub mod events;
pub mod exclusive_gate;
pub mod explanation;
pub mod guard_dump;
pub mod hand_over;
pub mod health_probe;
pub mod hedged_call;
pub mod inbound_door;
pub mod keyed_entry;
pub mod keyed_server;
pub mod keyed_work;
pub mod life_cycle;
pub mod logging;
pub mod node;
pub mod node_guard;
pub mod node_metrics;
pub mod node_process;
pub mod outbound_door;
pub mod peer_door;
pub mod planned_stop;
pub mod platform_watch;
pub mod policy_keeper;
pub mod policy_link;
pub mod refusals;
pub mod request_server;
pub mod state_dump;
pub mod suspect_gate;

pub use error::{DaemonError, Result};
