//! Errors of the transport layer.

use lagoonshore_protocol::ProtocolError;
use snafu::Snafu;
use std::net::SocketAddr;

/// `TransportError` is the reason why a connection or an exchange failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// A listening socket cannot be bound.
    #[snafu(display("cannot listen on {address} for the {listener} listener: {source}"))]
    Listen {
        /// Name of the listener.
        listener: &'static str,
        /// Address to listen on.
        address: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The request was not sent: it is invalid, or no connection could be made.
    #[snafu(display("cannot connect to {address}: {message}"))]
    Connect {
        /// Address of the other side.
        address: SocketAddr,
        /// Cause of the failure.
        message: String,
    },
    /// The exchange failed after the connection was established.
    #[snafu(display("exchange with {address} failed: {message}"))]
    Exchange {
        /// Address of the other side.
        address: SocketAddr,
        /// Cause of the failure.
        message: String,
    },
    /// The other side did not respond within the timeout.
    #[snafu(display("{address} did not respond in time"))]
    TimedOut {
        /// Address of the other side.
        address: SocketAddr,
    },
    /// The response is invalid, incomplete or larger than the limit.
    #[snafu(display("invalid response from {address}: {message}"))]
    InvalidResponse {
        /// Address of the other side.
        address: SocketAddr,
        /// What is wrong with the response.
        message: String,
    },
    /// An error of the protocol layer.
    #[snafu(display("{source}"), context(false))]
    Protocol {
        /// The underlying error.
        source: ProtocolError,
    },
}

/// `Result` of the transport layer.
pub type Result<T, E = TransportError> = std::result::Result<T, E>;

pub(crate) fn connect_error(
    address: SocketAddr,
    cause: &(impl ToString + ?Sized),
) -> TransportError {
    TransportError::Connect {
        address,
        message: cause.to_string(),
    }
}

pub(crate) fn exchange_error(
    address: SocketAddr,
    cause: &(impl ToString + ?Sized),
) -> TransportError {
    TransportError::Exchange {
        address,
        message: cause.to_string(),
    }
}

pub(crate) fn invalid_response(
    address: SocketAddr,
    cause: &(impl ToString + ?Sized),
) -> TransportError {
    TransportError::InvalidResponse {
        address,
        message: cause.to_string(),
    }
}
