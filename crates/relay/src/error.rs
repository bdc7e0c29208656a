//! Errors of the forwarding path.

use lagoonshore_transport::TransportError;
use snafu::Snafu;

/// `RelayError` says why a node cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RelayError {
    /// A door cannot be opened.
    #[snafu(display("{source}"), context(false))]
    Door {
        /// Cause in the transport layer.
        source: TransportError,
    },
    /// Signals cannot be handled.
    #[snafu(display("cannot handle signals: {source}"))]
    Signals {
        /// Cause.
        source: std::io::Error,
    },
    /// The operating system gives no random numbers.
    #[snafu(display("no random numbers: {message}"))]
    Random {
        /// Cause.
        message: String,
    },
}

/// `Result` of the forwarding path.
pub type Result<T, E = RelayError> = std::result::Result<T, E>;
