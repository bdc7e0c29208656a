//! tarpc connections between nodes, and their limits.

use crate::{
    link_transport::{LinkTransport, ReceivedKind},
    memory_budget::MemoryBudget,
};

use actix_rt::net::TcpStream;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::{
    client,
    context::Context,
    server::{self, BaseChannel, Channel, Serve},
};
use tokio::time::Instant;

/// Limit on calls in flight on one link.
const IN_FLIGHT_MAX: usize = 4096;
/// Limit on responses that wait to be written on one link.
const RESPONSE_BUFFER_MAX: usize = 1024;

/// `LinkLimits` bounds the messages that are received on a link.
#[derive(Clone, Debug)]
pub struct LinkLimits {
    /// Largest message, in bytes.
    pub frame_bytes: usize,
    /// Memory that the messages share with others.
    pub budget: MemoryBudget,
}

/// Creates the transport of the client side of a link.
#[must_use]
pub fn client_transport<Item, SinkItem>(
    stream: TcpStream,
    limits: LinkLimits,
) -> LinkTransport<Item, SinkItem> {
    let LinkLimits {
        frame_bytes,
        budget,
    } = limits;
    LinkTransport::new(stream, frame_bytes, budget, ReceivedKind::Responses)
}

/// Returns the limits of the client side of a link.
#[must_use]
pub fn client_config() -> client::Config {
    let mut config = client::Config::default();
    config.max_in_flight_requests = IN_FLIGHT_MAX;
    config.pending_request_buffer = IN_FLIGHT_MAX;
    config
}

/// Returns the context of a call with the given deadline on the clock of the runtime. tarpc compares it
/// with the system's clock, which differs from that of the runtime while a test has stopped the latter.
#[must_use]
pub fn context(deadline: Instant) -> Context {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + time_left;
    context
}

/// Returns the deadline of a call on the clock of the runtime.
#[must_use]
pub fn deadline_of(context: &Context) -> Instant {
    let now = std::time::Instant::now();
    Instant::now() + context.deadline.saturating_duration_since(now)
}

/// Serves one link until it ends, which cancels its requests.
pub async fn serve<S>(stream: TcpStream, limits: LinkLimits, server: S)
where
    S: Serve + Clone + 'static,
    S::Req: for<'de> Deserialize<'de> + 'static,
    S::Resp: Serialize + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let config = server::Config {
        pending_response_buffer: RESPONSE_BUFFER_MAX,
    };
    let LinkLimits {
        frame_bytes,
        budget,
    } = limits;
    let transport = LinkTransport::new(stream, frame_bytes, budget, ReceivedKind::Requests);
    let channel = BaseChannel::new(config, transport);
    channel
        .execute(server)
        .for_each(|request| async move {
            actix_rt::spawn(request);
        })
        .await;
}
