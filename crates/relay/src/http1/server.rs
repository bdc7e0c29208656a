//! The HTTP server: accepts connections of a listener, up to a limit, and passes their requests
//! to a handler.

use super::{
    request_handler::{RequestHandler, ServerPhase},
    server_connection::ServerConnection,
};

use crate::{
    active_count::{ActiveCount, ActiveGuard},
    header_scheme::HeaderScheme,
};

use actix_rt::net::TcpListener;
use lagoonshore_transport::memory_budget::MemoryBudget;
use std::{rc::Rc, time::Duration};

/// Pause after a failed accept; without it, the loop would spin while descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// `ServerLimits` bounds what the connections of a server hold.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Concurrent connections; those above are closed at once.
    pub connections: u32,
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
        if open.get() >= limits.connections {
            continue;
        }
        let guard = ActiveGuard::new(&open);
        let connection =
            ServerConnection::new(stream, Rc::clone(&handler), scheme, limits.budget.clone());
        actix_rt::spawn(async move {
            connection.serve().await;
            drop(guard);
        });
    }
}
