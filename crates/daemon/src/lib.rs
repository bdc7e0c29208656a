//! `lagoonshore-daemon` wires the layers into one node process.

pub mod calling;
pub mod distribution;
pub mod error;
pub mod events;
pub mod lifecycle;
pub mod listeners;
pub mod node;
pub mod node_process;
pub mod observation;
pub mod protection;
pub mod serving;

pub use error::{DaemonError, Result};
