//! The peer door: serves calls of other nodes over tarpc.

use crate::{peer_link::FRAME_BYTES_MAX, tarpc_link};

use actix_rt::net::{TcpListener, TcpStream};
use lagoonshore_protocol::peer_service::PeerService;
use std::{rc::Rc, time::Duration};

/// Pause after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Links from other nodes at the same time.
const LINKS_MAX: usize = 4096;

/// Serves other nodes until the future is dropped. Links above the bound are closed at once.
pub async fn serve<S>(listener: TcpListener, server: S)
where
    S: PeerService + Clone + 'static,
{
    accept_links(listener, LINKS_MAX, move |stream| {
        tarpc_link::serve(stream, FRAME_BYTES_MAX, server.clone().serve())
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
    let open_links = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Every link holds a clone; the last count is the acceptor's own.
        if Rc::strong_count(&open_links) <= links_max {
            let (link, guard) = (serve(stream), Rc::clone(&open_links));
            actix_rt::spawn(async move {
                link.await;
                drop(guard);
            });
        }
    }
}
