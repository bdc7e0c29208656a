//! Finds out whether the upstream crashed when a connection to it broke.

use actix_rt::net::TcpStream;
use std::{cell::Cell, io::ErrorKind, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Time for which a finding holds.
const FINDING_TIME: Duration = Duration::from_millis(200);
/// Time for a connection to be made.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// `CrashWatch` remembers whether the upstream took connections lately.
#[derive(Debug)]
pub struct CrashWatch {
    address: SocketAddr,
    refused_at: Cell<Option<Instant>>,
}

impl CrashWatch {
    /// Creates a watch on the upstream at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            refused_at: Cell::new(None),
        }
    }

    /// Notes that the upstream refused a connection.
    pub fn note_refused(&self) {
        self.refused_at.set(Some(Instant::now()));
    }

    /// Tells whether the upstream is down: nothing listens at its address.
    pub async fn is_down(&self) -> bool {
        let refused_at = self.refused_at.get();
        if refused_at.is_some_and(|then| then.elapsed() < FINDING_TIME) {
            return true;
        }
        let connecting = TcpStream::connect(self.address);
        let is_refused = match actix_rt::time::timeout(CONNECT_TIME, connecting).await {
            Ok(Err(fault)) => fault.kind() == ErrorKind::ConnectionRefused,
            _ => false,
        };
        if is_refused {
            self.note_refused();
        }
        is_refused
    }
}
