//! The HTTP server: accepts connections of a listener, up to a limit, and passes their requests
//! to a handler.

use super::{
    connection_table::{ConnectionTable, PlaceGuard},
    input_pool::InputPool,
    request_handler::{RequestHandler, ServerPhase},
    server_connection::{ConnectionParts, ServerConnection},
};

use crate::{
    active_count::{ActiveCount, ActiveGuard},
    connection_log::ConnectionLog,
    header_scheme::HeaderScheme,
};

use actix_rt::net::TcpListener;
use lagoonshore_transport::memory_budget::MemoryBudget;
use std::{net::IpAddr, rc::Rc, time::Duration};

/// Pause after a failed accept; without it, the loop would spin while descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// `ServerLimits` bounds what the connections of a server hold.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Concurrent connections; above them, one that is not in use is closed, or else the new one.
    pub connections: usize,
    /// Time that the body of a request may take to arrive.
    pub body_time: Duration,
    /// Received bytes of a body that allow one second more.
    pub body_bytes_per_second: u32,
    /// Time that a caller may take to read its responses.
    pub response_time: Duration,
    /// Bytes that it read of them that allow one second more.
    pub response_bytes_per_second: u32,
    /// Memory that the requests share with other messages.
    pub budget: MemoryBudget,
}

/// Serves `listener` until the phase is [`ServerPhase::Closed`].
pub async fn serve<H: RequestHandler>(
    listener: TcpListener,
    handler: Rc<H>,
    scheme: HeaderScheme,
    open: ActiveCount,
    limits: ServerLimits,
) {
    let mut phase = handler.phase();
    let limits = Rc::new(limits);
    let table = Rc::<ConnectionTable>::default();
    let input_pool = Rc::<InputPool>::default();
    let log = Rc::<ConnectionLog>::default();
    loop {
        // Connections in the backlog are accepted before the listener closes.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            Ok(_) = phase.wait_for(|phase| *phase == ServerPhase::Closed) => return,
        };
        let Ok((stream, address)) = accepted else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(guard) = find_place(&table, address.ip(), &limits, &log).await else {
            continue;
        };
        let parts = ConnectionParts {
            limits: Rc::clone(&limits),
            place: guard.place(),
            input_pool: Rc::clone(&input_pool),
            log: Rc::clone(&log),
        };
        let connection = ServerConnection::new(stream, Rc::clone(&handler), scheme, parts);
        let active = ActiveGuard::new(&open);
        actix_rt::spawn(async move {
            connection.serve().await;
            drop((guard, active));
        });
    }
}

/// Finds a place for a connection of `caller`; `None` if there is none.
async fn find_place(
    table: &Rc<ConnectionTable>,
    caller: IpAddr,
    limits: &ServerLimits,
    log: &ConnectionLog,
) -> Option<PlaceGuard> {
    let mut place = table.take_place(caller, limits.connections);
    if place.is_none() {
        // Connections that gave up their places may still have to end.
        tokio::task::yield_now().await;
        place = table.take_place(caller, limits.connections);
    }
    let Some((guard, given_up)) = place else {
        log.log_refused(caller, limits.connections);
        return None;
    };
    if let Some(given_up) = given_up {
        log.log_given_up(given_up, caller, limits.connections);
        // The one that gave up its place ends before others are accepted.
        tokio::task::yield_now().await;
    }
    Some(guard)
}
