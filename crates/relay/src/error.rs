//! Errors of the forwarding path.

use lagoonshore_transport::TransportError;
use snafu::Snafu;

/// `RelayError` is the reason why a node cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RelayError {
    /// A listener cannot be opened.
    #[snafu(display("{source}"), context(false))]
    Listener {
        /// Error of the transport layer.
        source: TransportError,
    },
    /// Signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The operating system provides no random numbers.
    #[snafu(display("the operating system provides no random numbers: {message}"))]
    Random {
        /// Error text of the operating system.
        message: String,
    },
}

/// `Result` with [`RelayError`] as its error.
pub type Result<T, E = RelayError> = std::result::Result<T, E>;
