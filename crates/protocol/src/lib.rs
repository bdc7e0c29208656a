//! `lagoonshore-protocol` defines the external formats of a node: header fields, messages between
//! nodes, problem bodies and policy records.

pub mod error;
pub mod headers;
pub mod messages;
pub mod peer_service;
pub mod problem;
pub mod record;
pub mod relay_bytes;
pub mod relay_messages;
pub mod relay_service;

pub use error::{ProtocolError, Result};
