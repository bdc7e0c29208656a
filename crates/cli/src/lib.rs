//! `lagoonshore-cli` implements `lagoonctl`, the read-only command line for operators. It has no
//! command that changes a node: operators change nodes only by publishing records.

pub mod account;
pub mod argument_parser;
pub mod check;
pub mod command;
pub mod error;
pub mod explain;
pub mod fleet;
pub mod node_reader;
pub mod page_path;
pub mod policy;
pub mod state;
pub mod text_table;

pub use error::{CliError, Result};
