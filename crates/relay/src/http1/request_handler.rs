//! The interface between the HTTP server and what answers its requests.

use super::{body::BodyError, credentials::CredentialsUse, head::RequestHead};

use bytes::Bytes;
use futures::{FutureExt, future::LocalBoxFuture};
use lagoonshore_state::route_table::CallerLimits;
use std::{net::IpAddr, rc::Rc};
use tokio::{sync::watch, time::Instant};

/// `ServerRequest` is a request that was read completely.
#[derive(Debug)]
pub struct ServerRequest {
    /// Head of the request.
    pub head: RequestHead,
    /// Body without transfer coding.
    pub body: Bytes,
    /// Time at which the first bytes of the head were read.
    pub received: Instant,
}

/// `ServerResponse` is a response to send to a caller.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, each terminated by CRLF.
    pub fields: Bytes,
    /// Body of the response.
    pub body: Bytes,
}

/// `UnreadRequest` is a request that a server does not read, or not to its end.
#[derive(Clone, Copy, Debug)]
pub struct UnreadRequest<'a> {
    /// HTTP status code of the response.
    pub status: u16,
    /// Why it is refused.
    pub reason: UnreadReason,
    /// Id of the request; empty if it is not known.
    pub id: &'a str,
    /// Address of the caller.
    pub caller: IpAddr,
}

/// `UnreadReason` is why a request is not read, or not to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadReason {
    /// It is malformed.
    Malformed,
    /// Its head or its body is larger than allowed.
    TooLarge,
    /// It did not arrive in time.
    Timeout,
    /// There is no memory for it.
    NoMemory,
    /// Its memory or its connection was given to others while it arrived.
    GivenUp,
    /// The handler failed.
    Failed,
}

impl UnreadReason {
    /// HTTP status code that is sent for it.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::TooLarge => 413,
            Self::Timeout => 408,
            Self::NoMemory | Self::GivenUp => 503,
            Self::Failed => 502,
        }
    }

    /// The word that stands for it in responses, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::Timeout => "slow-request",
            Self::NoMemory => "memory",
            Self::GivenUp => "given-up",
            Self::Failed => "failed",
        }
    }
}

impl From<BodyError> for UnreadReason {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::TooLarge,
            BodyError::Malformed => Self::Malformed,
            BodyError::NoMemory => Self::NoMemory,
            BodyError::GivenUp => Self::GivenUp,
        }
    }
}

/// `RequestHandler` answers the requests that a server receives.
pub trait RequestHandler: 'static {
    /// Answers one request. The future is dropped, and with it the request cancelled, when the
    /// caller disconnects.
    fn respond(self: Rc<Self>, request: ServerRequest) -> LocalBoxFuture<'static, ServerResponse>;
    /// Creates the response to a request that was not read, and did not run.
    fn refuse_unread(&self, request: UnreadRequest<'_>) -> ServerResponse;
    /// Limits on size and time of requests that are in force.
    fn limits(&self) -> CallerLimits;
    /// Whom the credentials of the next request are for.
    fn credentials_use(&self) -> CredentialsUse {
        CredentialsUse::Node
    }
    /// Returns a receiver of the phase, by which connections decide when to close.
    fn phase(&self) -> watch::Receiver<ServerPhase>;
}

/// `ServerPhase` is how a server treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Connections are kept alive.
    #[default]
    Open,
    /// Connections are closed after their next response.
    Closing,
    /// Idle connections are closed as well.
    ClosingIdle,
    /// No new connections are accepted.
    Closed,
}

/// Wraps a response in a completed future, for handlers that do not wait.
#[must_use]
pub fn ready_response(response: ServerResponse) -> LocalBoxFuture<'static, ServerResponse> {
    std::future::ready(response).boxed_local()
}
