//! `lagoonshore-protocol` defines what crosses the doors of a node: headers, messages between
//! nodes, problem bodies and the formats of policy records.

pub mod error;
pub mod headers;
pub mod messages;
pub mod peer_service;
pub mod problem;
pub mod record;
pub mod relay_messages;
pub mod relay_service;

pub use error::{ProtocolError, Result};
