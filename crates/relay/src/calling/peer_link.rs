//! One tarpc link to another node, and what is known about the node from its replies.

use actix_rt::net::TcpStream;
use lagoonshore_protocol::{relay_messages::NodeStatus, relay_service::RelayServiceClient};
use lagoonshore_transport::{
    memory_budget::MemoryBudget,
    running_timeout::running_timeout,
    tarpc_link::{self, LinkLimits, context},
};
use std::{cell::Cell, net::SocketAddr, time::Duration};
use tarpc::client::NewClient;
use tokio::{sync::watch, task::JoinHandle, time::Instant};

/// Largest message between nodes, in bytes.
const FRAME_BYTES_MAX: usize = 72 * 1024 * 1024;
/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after which a probe is not answered any more.
const PROBE_TIME_MAX: Duration = Duration::from_secs(5);

/// Limits of the messages that are received on a link.
pub(crate) const fn link_limits(budget: MemoryBudget) -> LinkLimits {
    LinkLimits {
        frame_bytes: FRAME_BYTES_MAX,
        budget,
    }
}

/// `PeerLink` is an open connection to another node.
pub(crate) struct PeerLink {
    pub(crate) client: RelayServiceClient,
    pub(crate) dispatch: JoinHandle<()>,
    pub(crate) is_alive: Cell<bool>,
    pub(crate) in_flight: Cell<u32>,
    /// Whether the node has missed a probe since its last reply to one.
    pub(crate) suspected: watch::Sender<bool>,
    last_reply: Cell<Option<Instant>>,
    /// Start of the calls in flight, after a time without any.
    waiting_since: Cell<Instant>,
}

impl PeerLink {
    /// Connects to the node at `address`; `None` if that fails.
    pub(crate) async fn connect(address: SocketAddr, budget: MemoryBudget) -> Option<Self> {
        let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        // Closing a broken link resets the connection, so that data still buffered is not delivered
        // late.
        stream.set_zero_linger().ok()?;
        let transport = tarpc_link::client_transport(stream, link_limits(budget));
        let config = tarpc_link::client_config();
        let NewClient { client, dispatch } = RelayServiceClient::new(config, transport);
        let dispatch = actix_rt::spawn(async move {
            // The calls in flight get the error.
            let _ = dispatch.await;
        });
        Some(Self {
            client,
            dispatch,
            is_alive: Cell::new(true),
            in_flight: Cell::new(0),
            suspected: watch::channel(false).0,
            // A connection is made by the kernel, so it is no evidence that the node replies.
            last_reply: Cell::new(None),
            waiting_since: Cell::new(Instant::now()),
        })
    }

    /// Sends a probe; `None` if the node does not answer within `timeout`.
    pub(crate) async fn probe(&self, timeout: Duration) -> Option<NodeStatus> {
        let probe = self.client.probe(context(Instant::now() + timeout));
        let status = actix_rt::time::timeout(timeout, probe).await.ok()?.ok()?;
        self.record_reply();
        Some(status)
    }

    /// Sends a probe; `None` if the node does not answer within `timeout`, of which only the time counts in
    /// which this process runs.
    pub(crate) async fn probe_while_running(&self, timeout: Duration) -> Option<NodeStatus> {
        let deadline = Instant::now() + PROBE_TIME_MAX;
        let probe = self.client.probe(context(deadline));
        let status = running_timeout(timeout, probe).await?.ok()?;
        self.record_reply();
        Some(status)
    }

    /// Records that the node replied.
    pub(crate) fn record_reply(&self) {
        self.last_reply.set(Some(Instant::now()));
    }

    /// Time since the last reply; `None` before the first one.
    pub(crate) fn reply_age(&self) -> Option<Duration> {
        self.last_reply.get().map(|at| at.elapsed())
    }

    /// Returns whether the node has missed a probe since its last reply to one.
    pub(crate) fn is_suspected(&self) -> bool {
        *self.suspected.borrow()
    }

    /// Returns whether calls are in flight and none was answered for `timeout`.
    pub(crate) fn is_silent(&self, timeout: Duration) -> bool {
        let waiting_since = self.waiting_since.get();
        let since = self.last_reply.get().unwrap_or(waiting_since);
        self.in_flight.get() > 0 && since.max(waiting_since).elapsed() >= timeout
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.dispatch.abort();
    }
}

/// Counts a call in flight. A call that ends without a reply is no evidence that the node is alive.
pub(crate) struct InFlightGuard<'a>(&'a PeerLink);

impl<'a> InFlightGuard<'a> {
    pub(crate) fn new(link: &'a PeerLink) -> Self {
        if link.in_flight.get() == 0 {
            link.waiting_since.set(Instant::now());
        }
        link.in_flight.set(link.in_flight.get() + 1);
        Self(link)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
