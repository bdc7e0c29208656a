//! `lagoonshore-relay` is the forwarding path of fleets that publish their routes and upstreams as
//! documents: a node beside each upstream takes the requests that begin on its instance, finds an
//! upstream for each, and has the node beside that one run it.

pub mod admin_door;
pub mod caller_door;
pub mod calling;
pub mod decision_log;
pub mod directory;
pub mod error;
pub mod events;
pub mod header_scheme;
pub mod http1;
pub mod logging;
pub mod node;
pub mod peer_door;
pub mod planned_stop;
pub mod ready_door;
pub mod relay_metrics;
pub mod run_count;
pub mod serving;
pub mod state_dump;

pub use error::{RelayError, Result};
