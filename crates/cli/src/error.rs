//! Errors of the command line.

use snafu::Snafu;
use std::net::SocketAddr;

/// `CliError` is the reason why a command failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CliError {
    /// The command line is invalid.
    #[snafu(display("{message}; see lagoonctl --help"))]
    Usage {
        /// Argument at fault and what was expected.
        message: String,
    },
    /// A checked file is invalid or cannot be read.
    #[snafu(display("{message}"))]
    CheckFailed {
        /// All errors, one per line, each with the name of its file.
        message: String,
    },
    /// No HTTP response arrived: the connection failed or the timeout passed.
    #[snafu(display("{address} does not answer: {message}"))]
    NoResponse {
        /// Address that was queried.
        address: SocketAddr,
        /// Error of the HTTP client.
        message: String,
    },
    /// The response is not one that a node's admin listener gives.
    #[snafu(display("{address} is not the admin listener of a node: {message}"))]
    NotANode {
        /// Address that was queried.
        address: SocketAddr,
        /// Status or parse error of the response.
        message: String,
    },
    /// The node has nothing under the requested name (status 404).
    #[snafu(display("{address}: {message}"))]
    NotFound {
        /// Address that was queried.
        address: SocketAddr,
        /// Message of the node.
        message: String,
    },
}

/// `Result` of a command; on success the text to print.
pub type Result<T = String, E = CliError> = std::result::Result<T, E>;

impl CliError {
    /// Exit code of the process: 2 for an invalid command line, 1 for every other error.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            _ => 1,
        }
    }
}

/// Creates a [`CliError::Usage`].
pub fn usage_error(message: impl Into<String>) -> CliError {
    CliError::Usage {
        message: message.into(),
    }
}
