//! The door for other nodes.

use crate::{
    calling::peer_links::frame_codec, directory::FleetDirectory,
    serving::upstream_server::UpstreamServer,
};

use actix_rt::net::{TcpListener, TcpStream};
use futures::StreamExt;
use lagoonshore_coordination::suspects::SuspectReport;
use lagoonshore_protocol::{
    relay_messages::{FleetKnowledge, NodeNews, RelayReply, RelayRequest},
    relay_service::RelayService,
};
use lagoonshore_state::route_table::FleetDocument;
use std::{rc::Rc, time::Duration};
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel, Config},
    tokio_serde::formats::Bincode,
};
use tokio::time::Instant;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Answers that wait to be written on one link.
const ANSWER_BUFFER: usize = 1024;
/// Links from other nodes at the same time.
const LINKS_MAX: usize = 1200;

/// `PeerDoor` answers other nodes.
#[derive(Clone)]
pub struct PeerDoor {
    server: Rc<UpstreamServer>,
    directory: Rc<FleetDirectory>,
}

impl PeerDoor {
    /// Creates the door of a node.
    #[must_use]
    pub const fn new(server: Rc<UpstreamServer>, directory: Rc<FleetDirectory>) -> Self {
        Self { server, directory }
    }

    /// Serves other nodes until the future is dropped.
    pub async fn serve_links(self, listener: TcpListener) {
        let open = Rc::new(());
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Every link holds a clone; the last count is the acceptor's own.
            if Rc::strong_count(&open) <= LINKS_MAX {
                let (door, mark) = (self.clone(), Rc::clone(&open));
                actix_rt::spawn(async move {
                    door.serve_link(stream).await;
                    drop(mark);
                });
            }
        }
    }

    /// Serves one link; the requests of a link that ends are cancelled.
    async fn serve_link(self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let framed = frame_codec().new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let config = Config {
            pending_response_buffer: ANSWER_BUFFER,
        };
        let requests = BaseChannel::new(config, transport).execute(self.serve());
        requests
            .for_each(|request| async move {
                actix_rt::spawn(request);
            })
            .await;
    }
}

impl RelayService for PeerDoor {
    async fn relay(self, context: Context, request: RelayRequest) -> RelayReply {
        let deadline = Instant::from_std(context.deadline);
        self.server.serve(request, deadline).await
    }

    async fn probe(self, _: Context) -> NodeNews {
        self.server.news()
    }

    async fn document(self, _: Context) -> Option<FleetDocument> {
        self.directory
            .document()
            .map(|document| (*document).clone())
    }

    async fn teach(self, _: Context, knowledge: FleetKnowledge) {
        self.directory.learn(knowledge);
    }

    async fn suspects(self, _: Context, reports: Vec<SuspectReport>) {
        self.server.learn_suspects(&reports);
    }
}
