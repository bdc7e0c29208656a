//! The HTTP server: accepts connections of a listener, up to a limit, and passes their requests
//! to a handler.

use super::{head::RequestHead, server_connection::ServerConnection};

use crate::{
    active_count::{ActiveCount, ActiveGuard},
    header_scheme::HeaderScheme,
};

use actix_rt::net::TcpListener;
use bytes::Bytes;
use futures::{FutureExt, future::LocalBoxFuture};
use lagoonshore_state::route_table::CallerLimits;
use std::{rc::Rc, time::Duration};
use tokio::{sync::watch, time::Instant};

/// Pause after a failed accept; without it, the loop would spin while descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
    /// Creates the response to an unreadable request, with `status`.
    fn reject(&self, status: u16) -> ServerResponse;
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

/// Serves `listener` until the phase is [`ServerPhase::Closed`]; connections above
/// `connections_max` are closed at once.
pub async fn serve<H: RequestHandler>(
    listener: TcpListener,
    handler: Rc<H>,
    scheme: HeaderScheme,
    open: ActiveCount,
    connections_max: u32,
) {
    let mut phase = handler.phase();
    loop {
        // Connections in the backlog are accepted before the listener closes.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            Ok(_) = phase.wait_for(|phase| *phase == ServerPhase::Closed) => return,
        };
        let Ok((stream, _)) = accepted else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.get() >= connections_max {
            continue;
        }
        let guard = ActiveGuard::new(&open);
        let connection = ServerConnection::new(stream, Rc::clone(&handler), scheme);
        actix_rt::spawn(async move {
            connection.serve().await;
            drop(guard);
        });
    }
}

/// Wraps a response in a completed future, for handlers that do not wait.
#[must_use]
pub fn ready_response(response: ServerResponse) -> LocalBoxFuture<'static, ServerResponse> {
    std::future::ready(response).boxed_local()
}
