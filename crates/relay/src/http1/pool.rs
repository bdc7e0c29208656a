//! Connections to one HTTP server, kept while they are idle.

use super::exchange::{self, ExchangeError, ReceivedResponse, SentRequest};

use crate::header_scheme::HeaderScheme;

use actix_rt::net::TcpStream;
use std::{
    cell::{Cell, RefCell},
    io::ErrorKind,
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Time for a connection to be made.
const CONNECT_TIME: Duration = Duration::from_millis(700);
/// Idle time of a connection that any request may use.
pub const ANY_IDLE_TIME: Duration = Duration::MAX;
/// Part of its keep-alive time for which an idle connection is reused, so that none is used just
/// as it ends.
const KEEP_SHARE: f64 = 0.7;

struct IdleConnection {
    stream: TcpStream,
    since: Instant,
    until: Instant,
}

/// `SendError` says why a request got no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection was made, so that nothing was sent.
    Connect(ErrorKind),
    /// The exchange failed; the request may have run.
    Exchange(ExchangeError),
}

/// `ConnectionPool` holds the connections to one server.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
    opened: Cell<u64>,
}

impl std::fmt::Debug for IdleConnection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("IdleConnection")
            .finish_non_exhaustive()
    }
}

impl ConnectionPool {
    /// Creates a pool without connections.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::new(Vec::new()),
            opened: Cell::new(0),
        }
    }

    /// Connections opened so far.
    #[must_use]
    pub const fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Drops all idle connections, for a server that started anew.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends `request` and waits for its whole answer, on a connection that was idle for
    /// `idle_max` at most: a server may forget an idle connection, and what is sent on it then is
    /// lost without a word on whether it ran. Dropping the future closes the connection,
    /// which tells the server that nobody waits any more.
    ///
    /// # Errors
    /// Why there is no whole answer.
    pub async fn send(
        &self,
        request: SentRequest,
        scheme: &HeaderScheme,
        idle_max: Duration,
    ) -> Result<ReceivedResponse, SendError> {
        let stream = match self.take_idle(idle_max) {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        let answer = exchange::run(&stream, request, scheme)
            .await
            .map_err(SendError::Exchange)?;
        if let Some(keep_alive) = answer.keep_alive {
            let since = Instant::now();
            let until = since + keep_alive.mul_f64(KEEP_SHARE);
            let kept = IdleConnection {
                stream,
                since,
                until,
            };
            self.idle.borrow_mut().push(kept);
        }
        Ok(answer)
    }

    /// Takes the connection that was used last, if nothing has come on it since.
    fn take_idle(&self, idle_max: Duration) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|held| held.until > now);
        // The last one was used last.
        while idle.last().is_some_and(|held| now - held.since <= idle_max) {
            let IdleConnection { stream, .. } = idle.pop()?;
            let read = stream.try_read(&mut [0]);
            if read.is_err_and(|fault| fault.kind() == ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
        None
    }

    async fn connect(&self) -> Result<TcpStream, SendError> {
        self.opened.set(self.opened.get() + 1);
        let connecting = TcpStream::connect(self.address);
        let connected = actix_rt::time::timeout(CONNECT_TIME, connecting).await;
        let connected = connected.map_err(|_| SendError::Connect(ErrorKind::TimedOut))?;
        let stream = connected.map_err(|fault| SendError::Connect(fault.kind()))?;
        stream
            .set_nodelay(true)
            .map_err(|fault| SendError::Connect(fault.kind()))?;
        Ok(stream)
    }
}
