//! How nodes speak tarpc to each other: frames, their codec, and the bounds of a link.

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

/// Calls in flight on one link.
const IN_FLIGHT_MAX: usize = 4096;
/// Answers that wait to be written on one link.
const RESPONSE_BUFFER_MAX: usize = 1024;

/// Messages of one link: `Item` comes in, `SinkItem` goes out.
pub type LinkTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Puts frames of at most `frame_bytes` on a connection.
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

/// Bounds of the calling side of a link.
#[must_use]
pub fn client_config() -> client::Config {
    let mut config = client::Config::default();
    config.max_in_flight_requests = IN_FLIGHT_MAX;
    config.pending_request_buffer = IN_FLIGHT_MAX;
    config
}

/// Context of a call that has to be answered by `deadline`.
#[must_use]
pub fn context(deadline: Instant) -> Context {
    let mut context = Context::current();
    context.deadline = deadline.into_std();
    context
}

/// Serves one link until it ends; its requests are cancelled then.
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
