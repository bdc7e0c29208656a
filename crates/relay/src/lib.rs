//! `lagoonshore-relay` is the forwarding path of fleets that publish their routes and upstreams as
//! documents. A node runs as a sidecar beside each upstream: it receives the requests that
//! originate on its instance, selects an upstream for each one, and sends it to the node beside
//! that upstream, which runs it.

mod access_gate;
pub mod account_page;
pub mod active_count;
pub mod admin_listener;
mod admin_query;
pub mod caller_listener;
pub mod calling;
mod connection_log;
pub mod decision_log;
pub mod directory;
pub mod error;
pub mod events;
pub mod explain_page;
pub mod header_scheme;
pub mod http1;
pub mod lifecycle;
mod line_budget;
pub mod logging;
pub mod node;
pub mod node_pages;
mod node_response;
pub mod peer_listener;
mod process_limits;
pub mod quota;
pub mod relay_metrics;
pub mod request_expectation;
mod return_recognition;
pub mod serving;
mod stable_hash;
pub mod state_dump;
pub mod store_view;
mod suspect_log;
pub mod suspect_tracker;

pub use error::{RelayError, Result};
