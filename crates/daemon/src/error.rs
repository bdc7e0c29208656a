//! Errors of the daemon.

use lagoonshore_transport::TransportError;
use snafu::Snafu;

/// `DaemonError` says why the node cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// A door cannot be opened.
    #[snafu(display("{source}"), context(false))]
    Transport {
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

/// `Result` of the daemon.
pub type Result<T, E = DaemonError> = std::result::Result<T, E>;
