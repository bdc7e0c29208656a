//! Connection pool for one upstream.

use crate::error::{self, Result};

use actix_http::h1::ClientCodec;
use actix_rt::net::TcpStream;
use std::{cell::RefCell, io::ErrorKind, net::SocketAddr, time::Duration};
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Timeout for connecting to the upstream, which runs on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle timeout; shorter than that of common servers, so that no connection is reused just as the
/// server closes it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// `UpstreamStream` is a connection that carries one request and response at a time.
pub(crate) type UpstreamStream = Framed<TcpStream, ClientCodec>;

struct IdleStream {
    framed: UpstreamStream,
    since: Instant,
}

/// `UpstreamPool` holds the idle connections to one upstream.
pub(crate) struct UpstreamPool {
    address: SocketAddr,
    idle: RefCell<Vec<IdleStream>>,
}

impl UpstreamPool {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::new(Vec::new()),
        }
    }

    /// Takes an idle connection that is still open, or opens a new one.
    pub(crate) async fn take(&self) -> Result<UpstreamStream> {
        let idle = self.take_idle();
        match idle {
            Some(framed) => Ok(framed),
            None => self.connect().await,
        }
    }

    /// Puts a connection back after an exchange, if the upstream keeps it alive and no unread data
    /// is left on it.
    pub(crate) fn put(&self, framed: UpstreamStream) {
        let is_clean = framed.codec().keep_alive() && framed.read_buffer().is_empty();
        if is_clean {
            let since = Instant::now();
            self.idle.borrow_mut().push(IdleStream { framed, since });
        }
    }

    fn take_idle(&self) -> Option<UpstreamStream> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|held| now < held.since + IDLE_TIMEOUT);
        while let Some(IdleStream { framed, .. }) = idle.pop() {
            let read = framed.get_ref().try_read(&mut [0]);
            if read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock) {
                return Some(framed);
            }
        }
        None
    }

    async fn connect(&self) -> Result<UpstreamStream> {
        let address = self.address;
        let connecting =
            actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connected = connecting.map_err(|error| error::connect_error(address, &error))?;
        let stream = connected.map_err(|error| error::connect_error(address, &error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| error::connect_error(address, &error))?;
        Ok(Framed::new(stream, ClientCodec::default()))
    }
}
