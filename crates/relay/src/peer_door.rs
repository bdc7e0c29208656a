//! The door for other nodes.

use crate::{
    calling::peer_links::FRAME_BYTES_MAX, directory::FleetDirectory,
    serving::upstream_server::UpstreamServer,
};

use actix_rt::net::{TcpListener, TcpStream};
use futures::StreamExt;
use lagoonshore_coordination::protection::suspects::SuspectReport;
use lagoonshore_protocol::{
    relay_messages::{FleetKnowledge, NodeNews, RelayReply, RelayRequest},
    relay_service::RelayService,
};
use lagoonshore_state::route_table::FleetDocument;
use lagoonshore_transport::{peer_link::frame_codec, peer_server};
use std::rc::Rc;
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel, Config},
    tokio_serde::formats::Bincode,
};
use tokio::time::Instant;

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
        let serve = move |stream| self.clone().serve_link(stream);
        peer_server::accept_links(listener, LINKS_MAX, serve).await;
    }

    /// Serves one link; the requests of a link that ends are cancelled.
    async fn serve_link(self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let framed = frame_codec(FRAME_BYTES_MAX).new_framed(stream);
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
