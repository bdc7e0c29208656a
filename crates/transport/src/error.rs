//! Errors of the transport layer.

use lagoonshore_protocol::ProtocolError;
use snafu::Snafu;
use std::net::SocketAddr;

/// `TransportError` says why bytes could not be moved.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// A door cannot be opened.
    #[snafu(display("cannot listen on {address} for the {listener} door: {source}"))]
    Listen {
        /// Name of the door.
        listener: &'static str,
        /// Address asked for.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// No connection could be made; nothing was sent.
    #[snafu(display("cannot connect to {address}: {message}"))]
    Connect {
        /// Address asked for.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// The exchange broke after the connection was made.
    #[snafu(display("exchange with {address} failed: {message}"))]
    Exchange {
        /// Address of the other side.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// The other side took longer than the time given.
    #[snafu(display("{address} did not answer in time"))]
    TimedOut {
        /// Address of the other side.
        address: SocketAddr,
    },
    /// The answer is not whole, or larger than the bound.
    #[snafu(display("{address} sent no whole answer: {message}"))]
    InvalidResponse {
        /// Address of the other side.
        address: SocketAddr,
        /// What is wrong with it.
        message: String,
    },
    /// A message could not be read.
    #[snafu(display("{source}"), context(false))]
    Protocol {
        /// Cause in the protocol layer.
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
