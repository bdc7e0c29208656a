//! tarpc connections between nodes: framing, codec and limits.

use actix_rt::net::TcpStream;
use futures::StreamExt;
use serde::{Deserialize, Serialize};
use tarpc::{
    client,
    context::Context,
    serde_transport::{self, Transport},
    server::{self, BaseChannel, Channel, Serve},
    tokio_serde::formats::Bincode,
};
use tokio::time::Instant;
use tokio_util::codec::LengthDelimitedCodec;

/// Limit on calls in flight on one link.
const IN_FLIGHT_MAX: usize = 4096;
/// Limit on responses that wait to be written on one link.
const RESPONSE_BUFFER_MAX: usize = 1024;

/// Message transport of one link: receives `Item`, sends `SinkItem`.
pub type LinkTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Wraps a connection in length-delimited bincode frames of at most `frame_bytes` bytes.
pub fn transport<Item, SinkItem>(
    stream: TcpStream,
    frame_bytes: usize,
) -> LinkTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(frame_bytes);
    serde_transport::new(builder.new_framed(stream), Bincode::default())
}

/// Returns the limits of the client side of a link.
#[must_use]
pub fn client_config() -> client::Config {
    let mut config = client::Config::default();
    config.max_in_flight_requests = IN_FLIGHT_MAX;
    config.pending_request_buffer = IN_FLIGHT_MAX;
    config
}

/// Returns the context of a call with the given deadline.
#[must_use]
pub fn context(deadline: Instant) -> Context {
    let mut context = Context::current();
    context.deadline = deadline.into_std();
    context
}

/// Serves one link until it ends, which cancels its requests.
pub async fn serve<S>(stream: TcpStream, frame_bytes: usize, server: S)
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
    let channel = BaseChannel::new(config, transport(stream, frame_bytes));
    channel
        .execute(server)
        .for_each(|request| async move {
            actix_rt::spawn(request);
        })
        .await;
}
