//! `lagoonshore-daemon` wires the layers into one node process.

pub mod calling;
pub mod distribution;
pub mod doors;
pub mod error;
pub mod guards;
pub mod life;
pub mod node;
pub mod node_process;
pub mod observation;
pub mod serving;

pub use error::{DaemonError, Result};
