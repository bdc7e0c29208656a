//! tarpc links to other nodes. A link that stays silent while calls are in flight is closed and
//! reopened: some networks drop all packets of existing connections but pass new ones.

use super::{
    link_monitor,
    peer_link::{InFlightGuard, PeerLink},
};

use crate::events;

use lagoonshore_coordination::forwarding::link_check::{self, CHECK_TIMEOUT};
use lagoonshore_protocol::relay_messages::NodeStatus;
use lagoonshore_transport::memory_budget::MemoryBudget;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};
use tarpc::client::RpcError;
use tokio::sync::Mutex;
use tracing::{info, warn};

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
    pub(super) address: SocketAddr,
    pub(super) link: Rc<PeerLink>,
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
    pub(super) async fn check(
        self: &Rc<Self>,
        address: SocketAddr,
        link: &PeerLink,
    ) -> Result<(), LinkError> {
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

    /// Connects to a lost node again; returns whether that is done, because it is connected or no
    /// longer listed.
    pub(super) async fn try_reconnect(self: &Rc<Self>, address: SocketAddr) -> bool {
        let entry = self.entries.borrow().get(&address).cloned();
        let Some(entry) = entry else { return true };
        entry.live_link().is_some() || self.establish(address, &entry).await.is_ok()
    }

    fn entry(&self, address: SocketAddr) -> Rc<PeerEntry> {
        Rc::clone(self.entries.borrow_mut().entry(address).or_default())
    }

    /// Returns the open link to a node, or opens one. While the node is lost, only the reconnect
    /// task connects to it, so that no request waits for a connection attempt.
    pub(super) async fn open_link(
        self: &Rc<Self>,
        address: SocketAddr,
    ) -> Result<Rc<PeerLink>, LinkError> {
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

    /// Connects to a node.
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
        let (links, weak_link) = (Rc::downgrade(self), Rc::downgrade(&link));
        actix_rt::spawn(link_monitor::watch(links, weak_link, address));
        Ok(link)
    }

    /// Records the failure of a call, and returns what it says of the call.
    pub(super) fn call_error(
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
    pub(super) fn mark_lost(self: &Rc<Self>, address: SocketAddr, cause: &str) {
        let entry = self.entry(address);
        if entry.is_lost.replace(true) {
            return;
        }
        warn!(event = events::PEER_LOST, peer = %address, cause, "peer: lost");
        self.notify(address, LinkEvent::Lost);
        actix_rt::spawn(link_monitor::reconnect(Rc::downgrade(self), address));
    }

    /// Calls the handler of link events.
    pub(super) fn notify(&self, address: SocketAddr, event: LinkEvent) {
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
