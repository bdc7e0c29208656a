//! The interface between the HTTP server and what answers its requests.

use super::head::RequestHead;

use bytes::Bytes;
use futures::{FutureExt, future::LocalBoxFuture};
use lagoonshore_state::route_table::CallerLimits;
use std::rc::Rc;
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

/// `RequestHandler` answers the requests that a server receives.
pub trait RequestHandler: 'static {
    /// Answers one request. The future is dropped, and with it the request cancelled, when the
    /// caller disconnects.
    fn respond(self: Rc<Self>, request: ServerRequest) -> LocalBoxFuture<'static, ServerResponse>;
    /// Creates the response to a request that was not read, with `status`; `id` is empty if it is not
    /// known.
    fn reject(&self, status: u16, id: &str) -> ServerResponse;
    /// Limits on size and time of requests that are in force.
    fn limits(&self) -> CallerLimits;
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
