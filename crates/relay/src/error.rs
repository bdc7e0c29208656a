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
    /// A signal handler cannot be installed.
    #[snafu(display("cannot handle signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The random number generator of the operating system failed.
    #[snafu(display("random number generator failed: {message}"))]
    Random {
        /// Text of the error.
        message: String,
    },
}

/// `Result` with [`RelayError`] as its default error.
pub type Result<T, E = RelayError> = std::result::Result<T, E>;
