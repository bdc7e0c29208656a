//! Server side of the links between nodes: serves calls of other nodes over tarpc.

use crate::{peer_link, tarpc_link};

use actix_rt::net::{TcpListener, TcpStream};
use lagoonshore_protocol::peer_service::PeerService;
use std::{rc::Rc, time::Duration};

/// Delay after a failed accept, so that the loop does not spin while file descriptors are
/// exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Limit on open links from other nodes.
const LINKS_MAX: usize = 4096;

/// Serves other nodes until the future is dropped. Links above the limit are closed at once.
pub async fn serve<S>(listener: TcpListener, server: S)
where
    S: PeerService + Clone + 'static,
{
    let limits = peer_link::link_limits();
    accept_links(listener, LINKS_MAX, move |stream| {
        tarpc_link::serve(stream, limits.clone(), server.clone().serve())
    })
    .await;
}

/// Accepts links on `listener` and runs `serve` for each of them, until the future is dropped.
/// Links above `links_max` are closed at once.
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
        // Each open link holds a clone; one more reference is held here.
        if Rc::strong_count(&open_links) <= links_max {
            let (link, guard) = (serve(stream), Rc::clone(&open_links));
            actix_rt::spawn(async move {
                link.await;
                drop(guard);
            });
        }
    }
}
