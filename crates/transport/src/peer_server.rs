//! The peer door: serves calls of other nodes over tarpc.

use crate::peer_link::{FRAME_BYTES_MAX, frame_codec};

use actix_rt::net::{TcpListener, TcpStream};
use futures::StreamExt;
use lagoonshore_protocol::peer_service::PeerService;
use std::{rc::Rc, time::Duration};
use tarpc::{
    serde_transport,
    server::{BaseChannel, Channel, Config},
    tokio_serde::formats::Bincode,
};

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Answers that wait to be written on one connection.
const ANSWER_BUFFER: usize = 1024;

/// Links from other nodes at the same time.
const LINKS_MAX: usize = 4096;

/// Serves other nodes until the future is dropped. Links above the bound are closed at once.
pub async fn serve<S>(listener: TcpListener, server: S)
where
    S: PeerService + Clone + 'static,
{
    accept_links(listener, LINKS_MAX, move |stream| {
        serve_link(stream, server.clone())
    })
    .await;
}

/// Has each link of `listener` served until the future is dropped. Links above `links_max` are
/// closed at once.
pub async fn accept_links<F>(
    listener: TcpListener,
    links_max: usize,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Every link holds a clone; the last count is the acceptor's own.
        if Rc::strong_count(&open) <= links_max {
            let (link, guard) = (serve(stream), Rc::clone(&open));
            actix_rt::spawn(async move {
                link.await;
                drop(guard);
            });
        }
    }
}

async fn serve_link<S>(stream: TcpStream, server: S)
where
    S: PeerService + Clone + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let transport = serde_transport::new(
        frame_codec(FRAME_BYTES_MAX).new_framed(stream),
        Bincode::default(),
    );
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
