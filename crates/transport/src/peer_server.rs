//! The peer door: serves calls of other nodes over tarpc.

use crate::peer_link::frame_codec;

use actix_rt::net::{TcpListener, TcpStream};
use futures::StreamExt;
use lagoonshore_protocol::peer_service::PeerService;
use std::time::Duration;
use tarpc::{
    serde_transport,
    server::{BaseChannel, Channel, Config},
    tokio_serde::formats::Bincode,
};

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Answers that wait to be written on one connection.
const ANSWER_BUFFER: usize = 1024;

/// Serves other nodes until the future is dropped.
pub async fn serve<S>(listener: TcpListener, server: S)
where
    S: PeerService + Clone + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        actix_rt::spawn(serve_link(stream, server.clone()));
    }
}

async fn serve_link<S>(stream: TcpStream, server: S)
where
    S: PeerService + Clone + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let transport = serde_transport::new(frame_codec().new_framed(stream), Bincode::default());
    let config = Config {
        pending_response_buffer: ANSWER_BUFFER,
    };
    let requests = BaseChannel::new(config, transport).execute(server.serve());
    requests
        .for_each(|request| async move {
            actix_rt::spawn(request);
        })
        .await;
}
