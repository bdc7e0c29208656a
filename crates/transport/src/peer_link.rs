//! Client side of the links to other nodes over tarpc.

use crate::{
    error::{self, Result, TransportError},
    leaving_watch::{self, LeavingHook},
    memory_budget::MemoryBudget,
    tarpc_link::{self, LinkLimits, context},
};

use actix_rt::net::TcpStream;
use lagoonshore_protocol::{
    messages::{
        CallReply, CallRequest, MessageStamp, NodeDigest, PullReply, PullRequest, SuspectReport,
    },
    peer_service::PeerServiceClient,
};
use lagoonshore_state::ids::IncarnationId;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tarpc::client::{NewClient, RpcError};
use tokio::time::Instant;

/// Largest message between nodes, in bytes.
pub const FRAME_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Memory for the messages that a node receives on all links of one direction, in bytes.
const RECEIVED_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the first call on a link, which returns the incarnation of the node.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone)]
struct PeerLink {
    client: PeerServiceClient,
    incarnation: IncarnationId,
    alive: Rc<Cell<bool>>,
}

/// `PeerLinks` keeps one connection to each node that is called.
pub struct PeerLinks {
    stamp: Box<dyn Fn() -> MessageStamp>,
    links: RefCell<BTreeMap<SocketAddr, PeerLink>>,
    leaving_hook: RefCell<Option<LeavingHook>>,
    limits: LinkLimits,
}

/// Limits of the messages that a node receives on its links.
pub(crate) fn link_limits() -> LinkLimits {
    LinkLimits {
        frame_bytes: FRAME_BYTES_MAX,
        budget: MemoryBudget::new(RECEIVED_BYTES_MAX),
    }
}

impl PeerLinks {
    /// Creates a set of links; `stamp` returns the stamp of each message as it is sent.
    #[must_use]
    pub fn new(stamp: impl Fn() -> MessageStamp + 'static) -> Self {
        Self {
            stamp: Box::new(stamp),
            links: RefCell::default(),
            leaving_hook: RefCell::default(),
            limits: link_limits(),
        }
    }

    /// Returns the incarnation of the node at `address`.
    ///
    /// # Errors
    /// [`TransportError::Connect`] if the node cannot be reached.
    pub async fn identify(&self, address: SocketAddr) -> Result<IncarnationId> {
        self.link(address).await.map(|link| link.incarnation)
    }

    /// Sends a call to the node at `address`; dropping the future also cancels the call there.
    ///
    /// # Errors
    /// [`TransportError::Connect`] if nothing was sent; any other error leaves the outcome unknown.
    pub async fn call(
        &self,
        address: SocketAddr,
        mut request: CallRequest,
        deadline: Instant,
    ) -> Result<CallReply> {
        let link = self.link(address).await?;
        request.stamp = (self.stamp)();
        let reply = link.client.call(context(deadline), request).await;
        reply.map_err(|error| link_error(address, error))
    }

    /// Exchanges digests with the node at `address`; `None` if the node did not accept the digest.
    ///
    /// # Errors
    /// [`TransportError`] if there is no reply.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        digest: NodeDigest,
        deadline: Instant,
    ) -> Result<Option<NodeDigest>> {
        let link = self.link(address).await?;
        let reply = link.client.exchange(context(deadline), digest).await;
        reply.map_err(|error| link_error(address, error))
    }

    /// Pulls records and lists from the node at `address`.
    ///
    /// # Errors
    /// [`TransportError`] if there is no reply.
    pub async fn pull(
        &self,
        address: SocketAddr,
        request: PullRequest,
        deadline: Instant,
    ) -> Result<PullReply> {
        let link = self.link(address).await?;
        let reply = link.client.pull(context(deadline), request).await;
        reply.map_err(|error| link_error(address, error))
    }

    /// Sets the hook that is called when a node starts or stops draining.
    pub fn on_leaving(&self, hook: LeavingHook) {
        self.leaving_hook.replace(Some(hook));
    }

    /// Reports suspects to the node at `address`; returns its own reports of the same requests.
    ///
    /// # Errors
    /// [`TransportError`]; the node may or may not have received the reports.
    pub async fn report_suspects(
        &self,
        address: SocketAddr,
        reports: Vec<SuspectReport>,
        deadline: Instant,
    ) -> Result<Vec<SuspectReport>> {
        let link = self.link(address).await?;
        let reply = link.client.suspects(context(deadline), reports).await;
        reply.map_err(|error| error::exchange_error(address, &error))
    }

    /// Returns the number of connected links.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links
            .borrow()
            .values()
            .filter(|link| link.alive.get())
            .count()
    }

    /// Returns whether no link is connected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    async fn link(&self, address: SocketAddr) -> Result<PeerLink> {
        let known = self.links.borrow().get(&address).cloned();
        if let Some(link) = known.filter(|link| link.alive.get()) {
            return Ok(link);
        }
        let link = self.connect(address).await?;
        self.links.borrow_mut().insert(address, link.clone());
        if let Some(hook) = self.leaving_hook.borrow().clone() {
            actix_rt::spawn(leaving_watch::watch(link.client.clone(), address, hook));
        }
        Ok(link)
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerLink> {
        let connecting =
            actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connected = connecting.map_err(|error| error::connect_error(address, &error))?;
        let stream = connected.map_err(|error| error::connect_error(address, &error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| error::connect_error(address, &error))?;
        let transport = tarpc_link::client_transport(stream, self.limits.clone());
        let config = tarpc_link::client_config();
        let NewClient { client, dispatch } = PeerServiceClient::new(config, transport);
        let alive = Rc::new(Cell::new(true));
        let alive_flag = Rc::clone(&alive);
        actix_rt::spawn(async move {
            // Calls in flight receive the error themselves; here the link is only marked as closed.
            let _ = dispatch.await;
            alive_flag.set(false);
        });
        let deadline = Instant::now() + IDENTIFY_TIMEOUT;
        let identity = client.identify(context(deadline), (self.stamp)()).await;
        let incarnation = identity.map_err(|error| error::connect_error(address, &error))?;
        Ok(PeerLink {
            client,
            incarnation,
            alive,
        })
    }
}

fn link_error(address: SocketAddr, error: RpcError) -> TransportError {
    match error {
        RpcError::DeadlineExceeded => TransportError::TimedOut { address },
        error => error::exchange_error(address, &error),
    }
}
