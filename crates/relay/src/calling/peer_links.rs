//! tarpc links to other nodes. A link that stays silent while calls are in flight is closed and
//! reopened: some networks drop all packets of existing connections but pass new ones.

use crate::events;

use actix_rt::net::TcpStream;
use lagoonshore_coordination::protection::suspects::SuspectReport;
use lagoonshore_protocol::{
    relay_messages::{FleetSnapshot, NodeStatus, RelayReply, RelayRequest},
    relay_service::RelayServiceClient,
};
use lagoonshore_state::route_table::FleetDocument;
use lagoonshore_transport::tarpc_link::{self, context};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tarpc::client::{NewClient, RpcError};
use tokio::{
    sync::{Mutex, watch},
    task::JoinHandle,
    time::Instant,
};
use tracing::{info, warn};

/// Largest message between nodes, in bytes.
pub const FRAME_BYTES_MAX: usize = 72 * 1024 * 1024;
/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Silence on a link with calls in flight after which the node is probed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a probe. After one missed probe the node is suspected, and idempotent requests in
/// flight are tried at another instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Consecutive missed probes after which the link is closed.
const MISSED_PROBES_MAX: u32 = 5;
/// Interval between attempts to reconnect to a lost node.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(400);

/// `LinkEvent` reports the reachability or the status of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// The node missed a probe, its link broke, or it cannot be connected.
    Lost,
    /// A lost node can be reached again.
    Reconnected,
    /// The node reported its status in reply to a probe.
    Status(NodeStatus),
}

/// `LinkEventHandler` is called with the address of the node for each event.
pub type LinkEventHandler = Rc<dyn Fn(SocketAddr, LinkEvent)>;

/// `LinkError` is the reason why a call got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// No connection was made, so nothing was sent.
    Connect,
    /// The link broke; the request may have run.
    Lost,
    /// The deadline passed; the request may have run.
    TimedOut,
}

struct PeerLink {
    client: RelayServiceClient,
    dispatch: JoinHandle<()>,
    is_alive: Cell<bool>,
    in_flight: Cell<u32>,
    last_heard: Cell<Instant>,
    suspected: watch::Sender<bool>,
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.dispatch.abort();
    }
}

#[derive(Default)]
struct PeerEntry {
    link: RefCell<Option<Rc<PeerLink>>>,
    connecting: Mutex<()>,
    is_lost: Cell<bool>,
}

/// `PeerLinks` keeps one connection to each node that requests are sent to.
pub struct PeerLinks {
    entries: RefCell<HashMap<SocketAddr, Rc<PeerEntry>>>,
    event_handler: RefCell<Option<LinkEventHandler>>,
}

impl PeerLinks {
    /// Creates an empty set; links are opened on first use.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            entries: RefCell::default(),
            event_handler: RefCell::default(),
        })
    }

    /// Sets the handler of link events.
    pub fn set_event_handler(&self, handler: LinkEventHandler) {
        self.event_handler.replace(Some(handler));
    }

    /// Has the node at `address` run `request`. Dropping the future cancels the request there. With
    /// `may_run_twice` the call fails with [`LinkError::Lost`] as soon as the node is suspected.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives.
    pub async fn relay(
        self: &Rc<Self>,
        address: SocketAddr,
        request: RelayRequest,
        deadline: Instant,
        may_run_twice: bool,
    ) -> Result<RelayReply, LinkError> {
        let link = self.open_link(address).await?;
        let in_flight = InFlightGuard::new(&link);
        let mut suspected = link.suspected.subscribe();
        let reply = tokio::select! {
            reply = link.client.relay(context(deadline), request) => reply,
            Ok(_) = suspected.wait_for(|is_suspected| *is_suspected), if may_run_twice => {
                return Err(LinkError::Lost);
            }
        };
        drop(in_flight);
        reply.map_err(|error| self.call_error(address, &link, &error))
    }

    /// Fetches the document that the node at `address` has in force.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives.
    pub async fn fetch_document(
        self: &Rc<Self>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Option<FleetDocument>, LinkError> {
        let link = self.open_link(address).await?;
        let reply = link.client.document(context(deadline)).await;
        reply.map_err(|error| self.call_error(address, &link, &error))
    }

    /// Requests the status of the node at `address`.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives.
    pub async fn probe(
        self: &Rc<Self>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<NodeStatus, LinkError> {
        let link = self.open_link(address).await?;
        let reply = link.client.probe(context(deadline)).await;
        reply.map_err(|error| self.call_error(address, &link, &error))
    }

    /// Sends the document and the upstream list to the node at `address`.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives; the node may have received the message.
    pub async fn push_snapshot(
        self: &Rc<Self>,
        address: SocketAddr,
        snapshot: FleetSnapshot,
        deadline: Instant,
    ) -> Result<(), LinkError> {
        let link = self.open_link(address).await?;
        let sent = link.client.teach(context(deadline), snapshot).await;
        sent.map_err(|error| self.call_error(address, &link, &error))
    }

    /// Reports suspect requests to the node at `address`.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives; the node may have received the message.
    pub async fn report_suspects(
        self: &Rc<Self>,
        address: SocketAddr,
        reports: Vec<SuspectReport>,
        deadline: Instant,
    ) -> Result<(), LinkError> {
        let link = self.open_link(address).await?;
        let sent = link.client.suspects(context(deadline), reports).await;
        sent.map_err(|error| self.call_error(address, &link, &error))
    }

    /// Number of open links.
    #[must_use]
    pub fn len(&self) -> usize {
        let entries = self.entries.borrow();
        let open = entries.values().filter(|entry| entry.live_link().is_some());
        open.count()
    }

    /// Returns whether no link is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the state of nodes that are no longer listed and have no open link.
    pub fn retain(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|address, entry| is_listed(*address) || entry.live_link().is_some());
    }

    fn entry(&self, address: SocketAddr) -> Rc<PeerEntry> {
        Rc::clone(self.entries.borrow_mut().entry(address).or_default())
    }

    /// Returns the open link to a node, or opens one. While the node is lost, only the reconnect
    /// task connects to it, so that no request waits for a connection attempt.
    async fn open_link(self: &Rc<Self>, address: SocketAddr) -> Result<Rc<PeerLink>, LinkError> {
        let entry = self.entry(address);
        if let Some(link) = entry.live_link() {
            return Ok(link);
        }
        if entry.is_lost.get() {
            return Err(LinkError::Connect);
        }
        let guard = entry.connecting.lock().await;
        if let Some(link) = entry.live_link() {
            return Ok(link);
        }
        // An earlier request failed to connect while this one waited for the lock.
        if entry.is_lost.get() {
            return Err(LinkError::Connect);
        }
        let link = self.establish(address, &entry).await;
        drop(guard);
        link
    }

    async fn establish(
        self: &Rc<Self>,
        address: SocketAddr,
        entry: &PeerEntry,
    ) -> Result<Rc<PeerLink>, LinkError> {
        let connected = self.connect(address).await;
        let Some(link) = connected else {
            self.mark_lost(address, "no connection");
            return Err(LinkError::Connect);
        };
        entry.link.replace(Some(Rc::clone(&link)));
        if entry.is_lost.replace(false) {
            info!(event = events::PEER_RECONNECTED, peer = %address, "peer: reconnected");
            self.notify(address, LinkEvent::Reconnected);
        }
        actix_rt::spawn(monitor_link(
            Rc::downgrade(self),
            Rc::downgrade(&link),
            address,
        ));
        Ok(link)
    }

    async fn connect(&self, address: SocketAddr) -> Option<Rc<PeerLink>> {
        let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        // Closing a broken link resets the connection, so that data still buffered is not delivered
        // late.
        stream.set_zero_linger().ok()?;
        let transport = tarpc_link::transport(stream, FRAME_BYTES_MAX);
        let config = tarpc_link::client_config();
        let NewClient { client, dispatch } = RelayServiceClient::new(config, transport);
        let dispatch = actix_rt::spawn(async move {
            // The calls in flight get the error.
            let _ = dispatch.await;
        });
        Some(Rc::new(PeerLink {
            client,
            dispatch,
            is_alive: Cell::new(true),
            in_flight: Cell::new(0),
            last_heard: Cell::new(Instant::now()),
            suspected: watch::channel(false).0,
        }))
    }

    fn call_error(
        self: &Rc<Self>,
        address: SocketAddr,
        link: &PeerLink,
        error: &RpcError,
    ) -> LinkError {
        if matches!(error, RpcError::DeadlineExceeded) {
            return LinkError::TimedOut;
        }
        if link.is_alive.replace(false) {
            self.mark_lost(address, "link broken");
        }
        LinkError::Lost
    }

    /// Marks a node as lost and starts the task that reconnects to it.
    fn mark_lost(self: &Rc<Self>, address: SocketAddr, cause: &str) {
        let entry = self.entry(address);
        if entry.is_lost.replace(true) {
            return;
        }
        warn!(event = events::PEER_LOST, peer = %address, cause, "peer: lost");
        self.notify(address, LinkEvent::Lost);
        actix_rt::spawn(reconnect(Rc::downgrade(self), address));
    }

    fn notify(&self, address: SocketAddr, event: LinkEvent) {
        let handler = self.event_handler.borrow().clone();
        if let Some(handler) = handler {
            handler(address, event);
        }
    }
}

impl PeerEntry {
    fn live_link(&self) -> Option<Rc<PeerLink>> {
        let link = self.link.borrow().clone()?;
        let is_live = link.is_alive.get() && !link.dispatch.is_finished();
        is_live.then_some(link)
    }
}

/// Counts a call in flight, and records its end as evidence that the node is alive.
struct InFlightGuard<'a>(&'a PeerLink);

impl<'a> InFlightGuard<'a> {
    fn new(link: &'a PeerLink) -> Self {
        if link.in_flight.get() == 0 {
            link.last_heard.set(Instant::now());
        }
        link.in_flight.set(link.in_flight.get() + 1);
        Self(link)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.last_heard.set(Instant::now());
    }
}

/// Probes a node that is silent while calls are in flight.
async fn monitor_link(links: Weak<PeerLinks>, link: Weak<PeerLink>, address: SocketAddr) {
    let mut missed = 0;
    loop {
        actix_rt::time::sleep(SILENCE_TIMEOUT).await;
        let (Some(links), Some(link)) = (links.upgrade(), link.upgrade()) else {
            return;
        };
        if !link.is_alive.get() {
            return;
        }
        if link.dispatch.is_finished() {
            link.is_alive.set(false);
            links.mark_lost(address, "link closed");
            return;
        }
        let is_silent = link.last_heard.get().elapsed() >= SILENCE_TIMEOUT;
        if missed == 0 && (link.in_flight.get() == 0 || !is_silent) {
            continue;
        }
        let probe = link.client.probe(context(Instant::now() + PROBE_TIMEOUT));
        if let Ok(Ok(status)) = actix_rt::time::timeout(PROBE_TIMEOUT, probe).await {
            missed = 0;
            link.suspected.send_if_modified(std::mem::take);
            link.last_heard.set(Instant::now());
            links.notify(address, LinkEvent::Status(status));
            continue;
        }
        missed += 1;
        link.suspected.send_replace(true);
        if missed < MISSED_PROBES_MAX {
            links.notify(address, LinkEvent::Lost);
            continue;
        }
        link.is_alive.set(false);
        link.dispatch.abort();
        links.mark_lost(address, "silent");
        return;
    }
}

/// Reconnects to a lost node for as long as it is listed, so that no request has to test whether it
/// is back.
async fn reconnect(links: Weak<PeerLinks>, address: SocketAddr) {
    loop {
        actix_rt::time::sleep(RECONNECT_INTERVAL).await;
        let Some(links) = links.upgrade() else { return };
        let entry = links.entries.borrow().get(&address).cloned();
        let Some(entry) = entry else { return };
        if entry.live_link().is_some() || links.establish(address, &entry).await.is_ok() {
            return;
        }
        links.notify(address, LinkEvent::Lost);
    }
}
