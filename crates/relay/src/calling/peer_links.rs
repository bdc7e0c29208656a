//! tarpc links to other nodes. A link that stays silent while calls are in flight is closed and
//! reopened: some networks drop all packets of existing connections but pass new ones.

use super::peer_link::{InFlightGuard, PeerLink};

use crate::events;

use lagoonshore_coordination::{
    forwarding::{
        link_check::{self, CHECK_TIMEOUT},
        store_watchers::FollowSchedule,
    },
    protection::suspects::SuspectReport,
};
use lagoonshore_protocol::relay_messages::{
    FleetSnapshot, NodeStatus, RelayReply, RelayRequest, StoreView, TokenAsk, TokenGrant,
};
use lagoonshore_state::{route_table::FleetDocument, units::whole_millis};
use lagoonshore_transport::{memory_budget::MemoryBudget, tarpc_link::context};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tarpc::client::RpcError;
use tokio::{sync::Mutex, time::Instant};
use tracing::{info, warn};

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

#[derive(Default)]
struct PeerEntry {
    link: RefCell<Option<Rc<PeerLink>>>,
    connecting: Mutex<()>,
    is_lost: Cell<bool>,
}

/// `RequestLink` is an open link on which a request can be sent.
pub struct RequestLink {
    address: SocketAddr,
    link: Rc<PeerLink>,
}

/// `PeerLinks` keeps one connection to each node that requests are sent to.
pub struct PeerLinks {
    entries: RefCell<HashMap<SocketAddr, Rc<PeerEntry>>>,
    event_handler: RefCell<Option<LinkEventHandler>>,
    budget: MemoryBudget,
}

impl PeerLinks {
    /// Creates an empty set; links are opened on first use. The replies share the memory of `budget`.
    #[must_use]
    pub fn new(budget: MemoryBudget) -> Rc<Self> {
        Rc::new(Self {
            entries: RefCell::default(),
            event_handler: RefCell::default(),
            budget,
        })
    }

    /// Sets the handler of link events.
    pub fn set_event_handler(&self, handler: LinkEventHandler) {
        self.event_handler.replace(Some(handler));
    }

    /// Returns a link to the node at `address` on which a request can be sent. Unless the request
    /// `may_run_twice`, the node has answered on it a moment ago. Nothing of the request is sent.
    ///
    /// # Errors
    /// [`LinkError::Connect`] if the node cannot be reached.
    pub async fn usable_link(
        self: &Rc<Self>,
        address: SocketAddr,
        may_run_twice: bool,
    ) -> Result<RequestLink, LinkError> {
        let link = self.open_link(address).await?;
        if link_check::is_needed(link.reply_age(), may_run_twice) {
            self.check(address, &link).await?;
        }
        Ok(RequestLink { address, link })
    }

    /// Checks with a probe that the node at `address` answers on `link`.
    async fn check(self: &Rc<Self>, address: SocketAddr, link: &PeerLink) -> Result<(), LinkError> {
        let in_flight = InFlightGuard::new(link);
        let status = link.probe(CHECK_TIMEOUT).await;
        drop(in_flight);
        if let Some(status) = status {
            self.notify(address, LinkEvent::Status(status));
            return Ok(());
        }
        link.suspected.send_replace(true);
        self.notify(address, LinkEvent::Lost);
        Err(LinkError::Connect)
    }

    /// Has the node at the other end of `link` run `request`. Dropping the future cancels the request
    /// there. With `may_run_twice` the call fails with [`LinkError::Lost`] as soon as the node is
    /// suspected.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives.
    pub async fn relay(
        self: &Rc<Self>,
        link: &RequestLink,
        request: RelayRequest,
        deadline: Instant,
        may_run_twice: bool,
    ) -> Result<RelayReply, LinkError> {
        let RequestLink { address, link } = link;
        let in_flight = InFlightGuard::new(link);
        let mut suspected = link.suspected.subscribe();
        let reply = tokio::select! {
            reply = link.client.relay(context(deadline), request) => reply,
            Ok(_) = suspected.wait_for(|is_suspected| *is_suspected), if may_run_twice => {
                return Err(LinkError::Lost);
            }
        };
        drop(in_flight);
        if reply.is_ok() {
            link.record_reply();
        }
        reply.map_err(|error| self.call_error(*address, link, &error))
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

    /// Waits until the node at `address` knows more of the store than the revision `seen`, for `wait` at
    /// most, and returns what it knows.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives.
    pub async fn store_view(
        self: &Rc<Self>,
        address: SocketAddr,
        seen: u64,
        schedule: FollowSchedule,
    ) -> Result<StoreView, LinkError> {
        let deadline = Instant::now() + schedule.timeout;
        let link = self.open_link(address).await?;
        let wait_ms = whole_millis(schedule.wait);
        let call = link.client.store_view(context(deadline), seen, wait_ms);
        let reply = tokio::time::timeout_at(deadline, call).await;
        match reply {
            Ok(Ok(view)) => Ok(view),
            Ok(Err(error)) => Err(self.call_error(address, &link, &error)),
            Err(_) => {
                // The link may have gone silent: a probe decides whether it is used any longer.
                let _ = self.check(address, &link).await;
                Err(LinkError::TimedOut)
            }
        }
    }

    /// Asks the node at `address` for tokens of a quota.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives; the tokens may have been taken.
    pub async fn take_tokens(
        self: &Rc<Self>,
        address: SocketAddr,
        ask: TokenAsk,
        deadline: Instant,
    ) -> Result<TokenGrant, LinkError> {
        let asking = async {
            let link = self.open_link(address).await?;
            let in_flight = InFlightGuard::new(&link);
            let reply = link.client.take_tokens(context(deadline), ask).await;
            drop(in_flight);
            if reply.is_ok() {
                link.record_reply();
            }
            reply.map_err(|error| self.call_error(address, &link, &error))
        };
        // A connection attempt may take longer.
        let reply = tokio::time::timeout_at(deadline, asking).await;
        reply.unwrap_or(Err(LinkError::TimedOut))
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

    /// Bytes that no message holds, of those of all messages of the node.
    #[must_use]
    pub fn free_memory(&self) -> usize {
        self.budget.free()
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
        let connected = PeerLink::connect(address, self.budget.clone()).await;
        let Some(link) = connected.map(Rc::new) else {
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
        if !link.is_suspected() && !link.is_silent(SILENCE_TIMEOUT) {
            continue;
        }
        if let Some(status) = link.probe(PROBE_TIMEOUT).await {
            missed = 0;
            link.suspected.send_if_modified(std::mem::take);
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
