//! Errors of the command line.

use snafu::Snafu;
use std::net::SocketAddr;

/// `CliError` says why a command did not end well.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CliError {
    /// The command line is wrong.
    #[snafu(display("{message}; see lagoonctl --help"))]
    Usage {
        /// What is wrong with it.
        message: String,
    },
    /// Files were checked and found bad.
    #[snafu(display("{message}"))]
    Bad {
        /// Every fault, one a line.
        message: String,
    },
    /// A node does not answer.
    #[snafu(display("{address} does not answer: {message}"))]
    Silent {
        /// Address asked.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// Something answers that is not a node's admin door.
    #[snafu(display("{address} is not the admin door of a node: {message}"))]
    Foreign {
        /// Address asked.
        address: SocketAddr,
        /// What it answered.
        message: String,
    },
    /// The node has no such thing.
    #[snafu(display("{address}: {message}"))]
    Absent {
        /// Address asked.
        address: SocketAddr,
        /// What is missing.
        message: String,
    },
}

/// `Result` of a command: the text to print.
pub type Result<T = String, E = CliError> = std::result::Result<T, E>;

impl CliError {
    /// Exit code of the process: 1 for checked and found bad, 2 for wrong use.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            _ => 1,
        }
    }
}

/// A fault of the command line.
pub fn usage(message: impl Into<String>) -> CliError {
    CliError::Usage {
        message: message.into(),
    }
}
