//! Client connections to one HTTP server, kept for reuse while they are idle.

use super::{
    exchange::{self, ExchangeError, ReceivedResponse, SentRequest},
    memory_budget::MemoryBudget,
};

use crate::header_scheme::HeaderScheme;

use actix_rt::net::TcpStream;
use compact_str::CompactString;
use std::{
    cell::{Cell, RefCell},
    io::ErrorKind,
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// No limit on the idle time of a connection, for requests that may use any idle one.
pub const ANY_IDLE_TIME: Duration = Duration::MAX;
/// Share of the server's keep-alive time for which an idle connection is reused. It is below 1 so
/// that no request is sent while the server closes the connection.
const KEEP_ALIVE_SHARE: f64 = 0.7;

/// Most ids of refused requests that are kept for a connection; it is closed if there are more.
const REFUSED_IDS_MAX: usize = 64;
/// Lowest status of a response that may lead to another attempt.
const REFUSAL_STATUS_MIN: u16 = 400;

/// A connection with the ids of the requests that were refused on it. None of them is sent on it
/// again, because a response that the server sends twice would be taken for that of the second
/// attempt.
struct PooledConnection {
    stream: TcpStream,
    refused_ids: Vec<CompactString>,
}

struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
    expires: Instant,
}

/// `SendError` is the reason why a request got no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    Connect(ErrorKind),
    /// The exchange failed; the request may have run.
    Exchange(ExchangeError),
}

/// `ConnectionPool` holds the idle connections to one server.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
    opened: Cell<u64>,
    budget: MemoryBudget,
    idle_max: usize,
}

impl std::fmt::Debug for IdleConnection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("IdleConnection")
            .finish_non_exhaustive()
    }
}

impl ConnectionPool {
    /// Creates an empty pool for the server at `address`. Its unfinished responses share the memory of
    /// `budget`.
    #[must_use]
    pub const fn new(address: SocketAddr, budget: MemoryBudget) -> Self {
        Self {
            address,
            idle: RefCell::new(Vec::new()),
            opened: Cell::new(0),
            budget,
            idle_max: usize::MAX,
        }
    }

    /// Limits the idle connections that are kept.
    #[must_use]
    pub const fn with_idle_max(mut self, idle_max: usize) -> Self {
        self.idle_max = idle_max;
        self
    }

    /// Number of attempts to open a connection so far.
    #[must_use]
    pub const fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Closes all idle connections, for use after the server went down.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends `request` and waits for its complete response, on a connection that was idle for at most
    /// `idle_max`. A server may drop an idle connection, and a request sent on it then is lost
    /// without any indication whether it ran. Dropping the future closes the connection, which
    /// tells the server that the request was cancelled.
    ///
    /// # Errors
    /// [`SendError`] if no connection could be opened or the exchange failed.
    pub async fn send(
        &self,
        request: SentRequest,
        scheme: &HeaderScheme,
        idle_max: Duration,
    ) -> Result<ReceivedResponse, SendError> {
        let id = request.id.clone();
        let mut connection = match self.take_idle(idle_max, id.as_ref()) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let stream = &connection.stream;
        let response = exchange::run(stream, request, scheme, self.budget.share())
            .await
            .map_err(SendError::Exchange)?;
        if let Some(id) = id
            && response.head.status >= REFUSAL_STATUS_MIN
        {
            connection.refused_ids.push(id);
        }
        if let Some(keep_alive) = response.keep_alive
            && connection.refused_ids.len() <= REFUSED_IDS_MAX
        {
            let since = Instant::now();
            let expires = since + keep_alive.mul_f64(KEEP_ALIVE_SHARE);
            let kept = IdleConnection {
                connection,
                since,
                expires,
            };
            self.keep(kept);
        }
        Ok(response)
    }

    /// Keeps a connection, and closes the one that has been idle for longest if there are too many.
    fn keep(&self, kept: IdleConnection) {
        let mut idle = self.idle.borrow_mut();
        idle.push(kept);
        if idle.len() > self.idle_max {
            idle.remove(0);
        }
    }

    /// Takes the most recently used connection on which nothing has been received since, and on which
    /// `id` was not refused.
    fn take_idle(
        &self,
        idle_max: Duration,
        id: Option<&CompactString>,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|kept| kept.expires > now);
        let is_usable = |kept: &IdleConnection| {
            let refused_ids = &kept.connection.refused_ids;
            now - kept.since <= idle_max && id.is_none_or(|id| !refused_ids.contains(id))
        };
        // Connections are pushed after use, so the last one was used most recently.
        while let Some(index) = idle.iter().rposition(is_usable) {
            let IdleConnection { connection, .. } = idle.remove(index);
            let read = connection.stream.try_read(&mut [0]);
            if read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<PooledConnection, SendError> {
        self.opened.set(self.opened.get() + 1);
        let connecting = TcpStream::connect(self.address);
        let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let connected = connected.map_err(|_| SendError::Connect(ErrorKind::TimedOut))?;
        let stream = connected.map_err(|error| SendError::Connect(error.kind()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| SendError::Connect(error.kind()))?;
        Ok(PooledConnection {
            stream,
            refused_ids: Vec::new(),
        })
    }
}
