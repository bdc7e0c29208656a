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
use std::{rc::Rc, time::Duration};

/// Pause after a failed accept; without it, the loop would spin while descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
