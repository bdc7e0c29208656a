//! `lagoonshore-relay` is the forwarding path of fleets that publish their routes and upstreams as
//! documents: a node beside each upstream takes the requests that begin on its instance, finds an
//! upstream for each, and has the node beside that one run it.

pub mod active_count;
pub mod admin_listener;
pub mod caller_listener;
pub mod calling;
pub mod decision_log;
pub mod directory;
pub mod error;
pub mod events;
pub mod header_scheme;
pub mod http1;
pub mod logging;
pub mod node;
pub mod peer_listener;
pub mod planned_stop;
pub mod ready_listener;
pub mod relay_metrics;
pub mod serving;
pub mod state_dump;

pub use error::{RelayError, Result};
