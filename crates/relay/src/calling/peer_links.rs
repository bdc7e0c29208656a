//! Links to other nodes over tarpc. A link that goes silent while calls wait on it is cut: some
//! networks drop everything on an old connection and let new ones through.

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
/// Time for a connection to another node.
const CONNECT_TIME: Duration = Duration::from_millis(350);
/// Silence on a link with calls in flight after which the node is asked whether it lives.
const SILENCE_TIME: Duration = Duration::from_millis(200);
/// Time for the answer, after which the node is suspected and requests that may run twice go
/// elsewhere.
const PROBE_TIME: Duration = Duration::from_millis(200);
/// Probes in a row without an answer after which the link is cut.
const PROBES_LOST_MAX: u32 = 5;
/// Time between two tries to reach a node that was lost.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// `LinkEvent` is what links tell of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// The node gives no sign of life, or its link was lost.
    Lost,
    /// The node answers again.
    Reconnected,
    /// The node told its state.
    Status(NodeStatus),
}

/// `LinkHook` is told of every event.
pub type LinkHook = Rc<dyn Fn(SocketAddr, LinkEvent)>;

/// `LinkError` says why a call got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// No link was made, so that nothing was sent.
    Connect,
    /// The link was lost; the request may have run.
    Lost,
    /// The deadline passed; the request may have run.
    TimedOut,
}

struct PeerLink {
    client: RelayServiceClient,
    dispatch: JoinHandle<()>,
    alive: Cell<bool>,
    in_flight: Cell<u32>,
    heard: Cell<Instant>,
    suspected: watch::Sender<bool>,
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.dispatch.abort();
    }
}

#[derive(Default)]
struct PeerPlace {
    link: RefCell<Option<Rc<PeerLink>>>,
    connecting: Mutex<()>,
    is_lost: Cell<bool>,
}

/// `PeerLinks` keeps one connection for each node that requests go to.
pub struct PeerLinks {
    places: RefCell<HashMap<SocketAddr, Rc<PeerPlace>>>,
    hook: RefCell<Option<LinkHook>>,
}

impl PeerLinks {
    /// Creates links that are made as they are needed.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            places: RefCell::default(),
            hook: RefCell::default(),
        })
    }

    /// Sets what is told of events.
    pub fn set_event_handler(&self, hook: LinkHook) {
        self.hook.replace(Some(hook));
    }

    /// Has the node at `address` run a request; dropping the future cancels it there. One that
    /// may run twice is given up as soon as the node is suspected.
    ///
    /// # Errors
    /// Why there is no reply.
    pub async fn relay(
        self: &Rc<Self>,
        address: SocketAddr,
        request: RelayRequest,
        deadline: Instant,
        may_run_twice: bool,
    ) -> Result<RelayReply, LinkError> {
        let link = self.link(address).await?;
        let mark = FlightMark::new(&link);
        let mut suspected = link.suspected.subscribe();
        let reply = tokio::select! {
            reply = link.client.relay(context(deadline), request) => reply,
            Ok(_) = suspected.wait_for(|is_suspected| *is_suspected), if may_run_twice => {
                return Err(LinkError::Lost);
            }
        };
        drop(mark);
        reply.map_err(|fault| self.call_fault(address, &link, &fault))
    }

    /// Asks the node at `address` for the document that it has in force.
    ///
    /// # Errors
    /// Why there is no reply.
    pub async fn fetch_document(
        self: &Rc<Self>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Option<FleetDocument>, LinkError> {
        let link = self.link(address).await?;
        let reply = link.client.document(context(deadline)).await;
        reply.map_err(|fault| self.call_fault(address, &link, &fault))
    }

    /// Asks the node at `address` for its state.
    ///
    /// # Errors
    /// Why there is no reply.
    pub async fn probe(
        self: &Rc<Self>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<NodeStatus, LinkError> {
        let link = self.link(address).await?;
        let reply = link.client.probe(context(deadline)).await;
        reply.map_err(|fault| self.call_fault(address, &link, &fault))
    }

    /// Tells the node at `address` all that is known of the fleet.
    ///
    /// # Errors
    /// Why the node may not have heard.
    pub async fn push_snapshot(
        self: &Rc<Self>,
        address: SocketAddr,
        knowledge: FleetSnapshot,
        deadline: Instant,
    ) -> Result<(), LinkError> {
        let link = self.link(address).await?;
        let told = link.client.teach(context(deadline), knowledge).await;
        told.map_err(|fault| self.call_fault(address, &link, &fault))
    }

    /// Tells the node at `address` of suspects.
    ///
    /// # Errors
    /// Why the node may not have heard.
    pub async fn report_suspects(
        self: &Rc<Self>,
        address: SocketAddr,
        reports: Vec<SuspectReport>,
        deadline: Instant,
    ) -> Result<(), LinkError> {
        let link = self.link(address).await?;
        let told = link.client.suspects(context(deadline), reports).await;
        told.map_err(|fault| self.call_fault(address, &link, &fault))
    }

    /// Number of links that are up.
    #[must_use]
    pub fn len(&self) -> usize {
        let places = self.places.borrow();
        let up = places.values().filter(|place| place.live().is_some());
        up.count()
    }

    /// Tells whether no link is up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops what is known of nodes that are not listed any more.
    pub fn retain(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        let mut places = self.places.borrow_mut();
        places.retain(|address, place| is_listed(*address) || place.live().is_some());
    }

    fn place(&self, address: SocketAddr) -> Rc<PeerPlace> {
        Rc::clone(self.places.borrow_mut().entry(address).or_default())
    }

    /// The link to a node. While the node is lost, only the search for it makes connections, so
    /// that no request waits for one.
    async fn link(self: &Rc<Self>, address: SocketAddr) -> Result<Rc<PeerLink>, LinkError> {
        let place = self.place(address);
        if let Some(link) = place.live() {
            return Ok(link);
        }
        if place.is_lost.get() {
            return Err(LinkError::Connect);
        }
        let guard = place.connecting.lock().await;
        if let Some(link) = place.live() {
            return Ok(link);
        }
        // The try of a request that came before has failed meanwhile.
        if place.is_lost.get() {
            return Err(LinkError::Connect);
        }
        let made = self.make(address, &place).await;
        drop(guard);
        made
    }

    async fn make(
        self: &Rc<Self>,
        address: SocketAddr,
        place: &PeerPlace,
    ) -> Result<Rc<PeerLink>, LinkError> {
        let made = self.connect(address).await;
        let Some(link) = made else {
            self.lose(address, "no connection");
            return Err(LinkError::Connect);
        };
        place.link.replace(Some(Rc::clone(&link)));
        if place.is_lost.replace(false) {
            info!(event = events::PEER_RECONNECTED, peer = %address, "peer: regained");
            self.tell(address, LinkEvent::Reconnected);
        }
        actix_rt::spawn(watch_link(
            Rc::downgrade(self),
            Rc::downgrade(&link),
            address,
        ));
        Ok(link)
    }

    async fn connect(&self, address: SocketAddr) -> Option<Rc<PeerLink>> {
        let connecting = actix_rt::time::timeout(CONNECT_TIME, TcpStream::connect(address));
        let stream = connecting.await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        // What a lost link still holds must not reach the node later.
        stream.set_zero_linger().ok()?;
        let transport = tarpc_link::transport(stream, FRAME_BYTES_MAX);
        let config = tarpc_link::client_config();
        let NewClient { client, dispatch } = RelayServiceClient::new(config, transport);
        let dispatch = actix_rt::spawn(async move {
            // The calls in flight learn of the fault.
            let _ = dispatch.await;
        });
        Some(Rc::new(PeerLink {
            client,
            dispatch,
            alive: Cell::new(true),
            in_flight: Cell::new(0),
            heard: Cell::new(Instant::now()),
            suspected: watch::channel(false).0,
        }))
    }

    fn call_fault(
        self: &Rc<Self>,
        address: SocketAddr,
        link: &PeerLink,
        fault: &RpcError,
    ) -> LinkError {
        if matches!(fault, RpcError::DeadlineExceeded) {
            return LinkError::TimedOut;
        }
        if link.alive.replace(false) {
            self.lose(address, "link broken");
        }
        LinkError::Lost
    }

    /// Notes that a node was lost, and tries to reach it for a while.
    fn lose(self: &Rc<Self>, address: SocketAddr, cause: &str) {
        let place = self.place(address);
        if place.is_lost.replace(true) {
            return;
        }
        warn!(event = events::PEER_LOST, peer = %address, cause, "peer: lost");
        self.tell(address, LinkEvent::Lost);
        actix_rt::spawn(reconnect(Rc::downgrade(self), address));
    }

    fn tell(&self, address: SocketAddr, event: LinkEvent) {
        let hook = self.hook.borrow().clone();
        if let Some(hook) = hook {
            hook(address, event);
        }
    }
}

impl PeerPlace {
    fn live(&self) -> Option<Rc<PeerLink>> {
        let link = self.link.borrow().clone()?;
        let is_live = link.alive.get() && !link.dispatch.is_finished();
        is_live.then_some(link)
    }
}

/// Counts a call for as long as it is in flight, and notes that the node was heard.
struct FlightMark<'a>(&'a PeerLink);

impl<'a> FlightMark<'a> {
    fn new(link: &'a PeerLink) -> Self {
        if link.in_flight.get() == 0 {
            link.heard.set(Instant::now());
        }
        link.in_flight.set(link.in_flight.get() + 1);
        Self(link)
    }
}

impl Drop for FlightMark<'_> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.heard.set(Instant::now());
    }
}

/// Asks a silent node whether it lives while calls wait for it.
async fn watch_link(links: Weak<PeerLinks>, link: Weak<PeerLink>, address: SocketAddr) {
    let mut lost = 0;
    loop {
        actix_rt::time::sleep(SILENCE_TIME).await;
        let (Some(links), Some(link)) = (links.upgrade(), link.upgrade()) else {
            return;
        };
        if !link.alive.get() {
            return;
        }
        if link.dispatch.is_finished() {
            link.alive.set(false);
            links.lose(address, "link closed");
            return;
        }
        let is_silent = link.heard.get().elapsed() >= SILENCE_TIME;
        if lost == 0 && (link.in_flight.get() == 0 || !is_silent) {
            continue;
        }
        let probe = link.client.probe(context(Instant::now() + PROBE_TIME));
        if let Ok(Ok(news)) = actix_rt::time::timeout(PROBE_TIME, probe).await {
            lost = 0;
            link.suspected.send_if_modified(std::mem::take);
            link.heard.set(Instant::now());
            links.tell(address, LinkEvent::Status(news));
            continue;
        }
        lost += 1;
        link.suspected.send_replace(true);
        if lost < PROBES_LOST_MAX {
            links.tell(address, LinkEvent::Lost);
            continue;
        }
        link.alive.set(false);
        link.dispatch.abort();
        links.lose(address, "silent");
        return;
    }
}

/// Tries to reach a node that was lost for as long as it is listed, so that no request has to find
/// out whether it is back.
async fn reconnect(links: Weak<PeerLinks>, address: SocketAddr) {
    loop {
        actix_rt::time::sleep(RECONNECT_PAUSE).await;
        let Some(links) = links.upgrade() else { return };
        let place = links.places.borrow().get(&address).cloned();
        let Some(place) = place else { return };
        if place.live().is_some() || links.make(address, &place).await.is_ok() {
            return;
        }
        links.tell(address, LinkEvent::Lost);
    }
}
