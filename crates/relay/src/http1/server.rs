//! A door for callers: what it takes and answers, and how it accepts connections.

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

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// `ServerRequest` is a whole request.
#[derive(Debug)]
pub struct ServerRequest {
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Bytes,
    /// Time at which the first byte of the head was read.
    pub received: Instant,
}

/// `ServerResponse` is an answer to send.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// Status.
    pub status: u16,
    /// Header fields, each with its line end.
    pub fields: Bytes,
    /// Body.
    pub body: Bytes,
}

/// `CallerHandler` answers the requests of a door.
pub trait CallerHandler: 'static {
    /// Answers one request. Dropping the future cancels it: the caller left.
    fn answer(self: Rc<Self>, request: ServerRequest) -> LocalBoxFuture<'static, ServerResponse>;
    /// Answers a request that cannot be read, with `status`.
    fn reject(&self, status: u16) -> ServerResponse;
    /// Bounds on callers in force.
    fn limits(&self) -> CallerLimits;
    /// Phase of the door, which tells connections when to close.
    fn phase(&self) -> watch::Receiver<ServerPhase>;
}

/// `ServerPhase` says how a door treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// Connections are kept.
    #[default]
    Open,
    /// Connections are closed after their next answer.
    Closing,
    /// Idle connections are closed as well.
    ClosingIdle,
    /// No connection is accepted any more.
    Closed,
}

/// Serves `listener` until the door is closed; connections above `connections_max` are closed at
/// once.
pub async fn serve<H: CallerHandler>(
    listener: TcpListener,
    handler: Rc<H>,
    scheme: HeaderScheme,
    open: ActiveCount,
    connections_max: u32,
) {
    let mut phase = handler.phase();
    loop {
        // Connections that wait to be accepted go before the end of the door.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            Ok(_) = phase.wait_for(|phase| *phase == ServerPhase::Closed) => return,
        };
        let Ok((stream, _)) = accepted else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= connections_max {
            continue;
        }
        let mark = ActiveGuard::new(&open);
        let connection = ServerConnection::new(stream, Rc::clone(&handler), scheme);
        actix_rt::spawn(async move {
            connection.serve().await;
            drop(mark);
        });
    }
}

/// Answers at once, for handlers that need not wait.
#[must_use]
pub fn ready(answer: ServerResponse) -> LocalBoxFuture<'static, ServerResponse> {
    std::future::ready(answer).boxed_local()
}
