//! Connections to one HTTP server, kept while they are idle.

use super::exchange::{self, ExchangeFault, SentRequest, WholeAnswer};

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
/// Part of its keep-alive time for which an idle connection is reused, so that none is used just
/// as it ends.
const KEEP_SHARE: f64 = 0.7;

struct IdleConnection {
    stream: TcpStream,
    until: Instant,
}

/// `SendFault` says why a request got no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendFault {
    /// No connection was made, so that nothing was sent.
    Connect(ErrorKind),
    /// The exchange failed; the request may have run.
    Exchange(ExchangeFault),
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

    /// Sends `request` and waits for its whole answer. Dropping the future closes the connection,
    /// which tells the server that nobody waits any more.
    ///
    /// # Errors
    /// Why there is no whole answer.
    pub async fn send(
        &self,
        request: SentRequest,
        scheme: &HeaderScheme,
    ) -> Result<WholeAnswer, SendFault> {
        let stream = match self.take_idle() {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        let answer = exchange::run(&stream, request, scheme)
            .await
            .map_err(SendFault::Exchange)?;
        if let Some(keeps) = answer.keeps {
            let until = Instant::now() + keeps.mul_f64(KEEP_SHARE);
            self.idle
                .borrow_mut()
                .push(IdleConnection { stream, until });
        }
        Ok(answer)
    }

    /// Takes the connection that was used last, if nothing has come on it since.
    fn take_idle(&self) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        while let Some(IdleConnection { stream, until }) = idle.pop() {
            if until <= now {
                // All below it have been idle for longer.
                idle.retain(|held| held.until > now);
                continue;
            }
            let read = stream.try_read(&mut [0]);
            if read.is_err_and(|fault| fault.kind() == ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
        None
    }

    async fn connect(&self) -> Result<TcpStream, SendFault> {
        self.opened.set(self.opened.get() + 1);
        let connecting = TcpStream::connect(self.address);
        let connected = actix_rt::time::timeout(CONNECT_TIME, connecting).await;
        let connected = connected.map_err(|_| SendFault::Connect(ErrorKind::TimedOut))?;
        let stream = connected.map_err(|fault| SendFault::Connect(fault.kind()))?;
        stream
            .set_nodelay(true)
            .map_err(|fault| SendFault::Connect(fault.kind()))?;
        Ok(stream)
    }
}
