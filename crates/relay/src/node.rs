//! Puts a node together and runs it.

use crate::{
    active_count::ActiveCount,
    admin_listener::AdminListener,
    caller_listener::CallerListener,
    calling::{
        peer_links::{LinkEvent, PeerLinks},
        peer_table::PeerTable,
        request_forwarder::RequestForwarder,
    },
    decision_log::DecisionLog,
    directory::{DocumentSource, FleetDirectory},
    error::{RelayError, Result, SignalsSnafu},
    events,
    header_scheme::HeaderScheme,
    http1::server,
    peer_listener::PeerListener,
    planned_stop,
    ready_listener::ReadyListener,
    serving::upstream_server::UpstreamServer,
    state_dump::{self, StateDump},
};

use actix_rt::net::TcpListener;
use lagoonshore_settings::{RelaySettings, relay_settings::RelayListenSettings};
use lagoonshore_transport::{http_listener, metrics_recorder, signals};
use rand::{SeedableRng, rngs::SmallRng};
use snafu::ResultExt;
use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;
use tracing::{info, warn};

/// Connections of callers at the same time.
const CALLERS_MAX: u32 = 2500;
/// Connections of operators and of readiness checks at the same time.
const ADMIN_MAX: u32 = 32;
/// Time in which another node hands over a document.
const DOCUMENT_TIME: Duration = Duration::from_secs(1);
/// Time in which the store tells of a document that another node has already.
const STORE_LEAD: Duration = Duration::from_millis(200);
/// Time in which a node that came back reads the store itself.
const TEACH_LEAD: Duration = Duration::from_millis(200);
/// Time between two messages about suspects.
const SUSPECT_PAUSE: Duration = Duration::from_millis(500);

/// `RelayNode` is a node with its doors.
pub struct RelayNode {
    /// Settings that the node started with.
    pub settings: RelaySettings,
    /// The fleet as the node sees it.
    pub directory: Rc<FleetDirectory>,
    /// Side beside the upstream.
    pub server: Rc<UpstreamServer>,
    /// Door for callers, with the sending side.
    pub callers: Rc<CallerListener>,
    /// Door for readiness checks.
    pub ready: Rc<ReadyListener>,
    /// Open connections of callers.
    pub caller_connections: ActiveCount,
    links: Rc<PeerLinks>,
    book: Rc<PeerTable>,
    scheme: HeaderScheme,
}

impl RelayNode {
    /// Puts a node together that knows nothing of the fleet.
    ///
    /// # Errors
    /// [`RelayError::Random`] if the operating system gives no random numbers.
    pub fn new(settings: RelaySettings, scheme: HeaderScheme) -> Result<Rc<Self>> {
        let seed = getrandom::u64().map_err(|fault| RelayError::Random {
            message: fault.to_string(),
        })?;
        let region = settings.region.clone();
        let directory = Rc::new(FleetDirectory::new(settings.upstream, region));
        let log = Rc::new(DecisionLog::default());
        let random = SmallRng::seed_from_u64(seed);
        let book = Rc::new(PeerTable::new(&settings, Rc::clone(&directory), random));
        let links = PeerLinks::new();
        let server = UpstreamServer::new(&settings, scheme, Rc::clone(&directory), Rc::clone(&log));
        let server = Rc::new(server);
        let caller = RequestForwarder::new(
            &settings,
            scheme,
            Rc::clone(&directory),
            log,
            Rc::clone(&book),
            Rc::clone(&links),
            Rc::clone(&server),
        );
        let table = Rc::clone(server.running_table());
        let callers = CallerListener::new(scheme, Rc::clone(&directory), table, caller);
        let ready = Rc::new(ReadyListener::new(Rc::clone(&directory)));
        let (noted, known) = (Rc::clone(&book), Rc::clone(&directory));
        let teaching = Rc::downgrade(&links);
        links.set_event_handler(Rc::new(move |address, event| {
            noted.record_link_event(address, event);
            if event == LinkEvent::Reconnected
                && let Some(links) = teaching.upgrade()
            {
                actix_rt::spawn(teach(links, Rc::clone(&known), address));
            }
        }));
        Ok(Rc::new(Self {
            settings,
            directory,
            server,
            callers: Rc::new(callers),
            ready,
            caller_connections: ActiveCount::default(),
            links,
            book,
            scheme,
        }))
    }

    /// Opens the doors and serves them on the current thread; returns where they listen.
    ///
    /// # Errors
    /// Names the door that cannot be opened.
    pub async fn open(self: &Rc<Self>) -> Result<RelayListenSettings> {
        let listen = self.settings.listen;
        let callers = http_listener::listen("callers", listen.callers).await?;
        let ready = http_listener::listen("ready", listen.ready).await?;
        let peers = http_listener::listen("peers", listen.peers).await?;
        let admin = http_listener::listen("admin", listen.admin).await?;
        let bound = RelayListenSettings {
            callers: bound_address(&callers, listen.callers),
            ready: bound_address(&ready, listen.ready),
            peers: bound_address(&peers, listen.peers),
            admin: bound_address(&admin, listen.admin),
        };
        self.directory.set_peer_port(bound.peers.port());
        self.callers.caller().set_peer_address(bound.peers);
        let serving = server::serve(
            callers,
            Rc::clone(&self.callers),
            self.scheme,
            Rc::clone(&self.caller_connections),
            CALLERS_MAX,
        );
        actix_rt::spawn(serving);
        let (count, scheme) = (ActiveCount::default(), self.scheme);
        let serving = server::serve(ready, Rc::clone(&self.ready), scheme, count, ADMIN_MAX);
        actix_rt::spawn(serving);
        let door = PeerListener::new(Rc::clone(&self.server), Rc::clone(&self.directory));
        actix_rt::spawn(door.serve_links(peers));
        let metrics = metrics_recorder::handle();
        let node = Rc::clone(self);
        let state = Box::new(move || node.dump());
        let door = Rc::new(AdminListener::new(metrics.clone(), state));
        let serving = server::serve(admin, door, scheme, ActiveCount::default(), ADMIN_MAX);
        actix_rt::spawn(serving);
        actix_rt::spawn(metrics_recorder::run_upkeep(metrics));
        actix_rt::spawn(follow_directory(Rc::clone(self)));
        actix_rt::spawn(spread_suspects(Rc::clone(self)));
        actix_rt::spawn(follow_peers(Rc::clone(self)));
        info!(
            event = events::RELAY_STARTED,
            node = %self.settings.node, service = %self.settings.service,
            zone = %self.settings.zone, callers = %bound.callers, peers = %bound.peers,
            "relay: started"
        );
        Ok(bound)
    }

    /// State of the node.
    #[must_use]
    pub fn dump(&self) -> StateDump {
        let news = self.server.node_status();
        StateDump {
            node: self.settings.node.clone(),
            service: self.settings.service.clone(),
            is_ready: self.ready.is_ready(),
            version: self.directory.version(),
            refused_entries: self.directory.refused_count(),
            slots: crate::serving::slot_limiter::SlotUsage {
                in_use: news.in_use,
                limit: news.limit,
                queued: news.queued,
            },
            calls: self.callers.caller().running(),
            served: self.server.running(),
            upstream_connections: self.server.connections_opened(),
            links: self.links.len(),
            instances: state_dump::instances(&self.directory, &self.book),
            routes: self
                .directory
                .routes()
                .routes()
                .into_iter()
                .cloned()
                .collect(),
        }
    }

    /// Asks the node at `peer` for its document, which was said to be newer than the own one.
    async fn pull_document(&self, peer: SocketAddr) {
        let deadline = Instant::now() + DOCUMENT_TIME;
        // A node that does not answer is asked again with the next news.
        if let Ok(Some(document)) = self.links.fetch_document(peer, deadline).await {
            self.directory
                .apply_document(document, DocumentSource::Peer);
        }
    }

    /// Has `reload` called at each SIGHUP.
    ///
    /// # Errors
    /// [`RelayError::Signals`] if no handler can be installed.
    pub fn on_reload(&self, reload: impl Fn() + 'static) -> Result<()> {
        signals::on_reload(reload).context(SignalsSnafu)
    }

    /// Takes over settings that were read again. Addresses, names and memory hold until the
    /// process starts anew.
    pub fn apply_settings(&self, settings: &RelaySettings) {
        self.callers.caller().set_retry_settings(settings.retries);
        self.server.set_retry_settings(settings.retries);
        info!(
            event = events::SETTINGS_RELOADED,
            ratio = settings.retries.ratio,
            slack = settings.retries.slack,
            "settings: reloaded"
        );
    }

    /// Logs that settings cannot be used; those in force stay.
    pub fn refuse_settings(&self, fault: &str) {
        warn!(event = events::SETTINGS_REFUSED, fault, "settings: refused");
    }

    /// Waits for the request to stop, and stops.
    ///
    /// # Errors
    /// [`RelayError::Signals`] if no handler can be installed.
    pub async fn run_until_stopped(&self) -> Result<()> {
        signals::wait_for_stop().await.context(SignalsSnafu)?;
        planned_stop::run(self).await;
        Ok(())
    }
}

fn bound_address(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    // A listener that tells no address listens where it was asked to.
    listener.local_addr().unwrap_or(asked)
}

/// Hands changes of the directory to those that work by it.
async fn follow_directory(node: Rc<RelayNode>) {
    let mut changes = node.directory.changes();
    // What changed before this task began is news to it as well.
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        node.server.apply_upstream_list();
        node.callers.caller().apply_directory_change();
        let listed: BTreeSet<SocketAddr> = {
            let table = node.directory.instances();
            table.iter().map(|(_, record)| record.peer).collect()
        };
        node.links.retain(|address| listed.contains(&address));
    }
}

/// Teaches a node that came back and still knows nothing: it may not reach the store.
async fn teach(links: Rc<PeerLinks>, directory: Rc<FleetDirectory>, address: SocketAddr) {
    actix_rt::time::sleep(TEACH_LEAD).await;
    let deadline = Instant::now() + DOCUMENT_TIME;
    let Ok(news) = links.probe(address, deadline).await else {
        return;
    };
    if news.version == 0
        && let Some(knowledge) = directory.snapshot()
    {
        // A node that does not hear it from here hears it from another one.
        let _ = links.push_snapshot(address, knowledge, deadline).await;
    }
}

/// Takes a document from another node where the store has not told of it.
async fn follow_peers(node: Rc<RelayNode>) {
    let mut peers = node.directory.peers();
    while peers.changed().await.is_ok() {
        let known = *peers.borrow_and_update();
        if known.version <= node.directory.version() {
            continue;
        }
        actix_rt::time::sleep(STORE_LEAD).await;
        if let Some(peer) = known.peer
            && known.version > node.directory.version()
        {
            node.pull_document(peer).await;
        }
    }
}

/// Tells the other nodes of requests that crash upstreams, while there are any.
async fn spread_suspects(node: Rc<RelayNode>) {
    loop {
        actix_rt::time::sleep(SUSPECT_PAUSE).await;
        let news = node.server.suspects().reports();
        if news.is_empty() {
            continue;
        }
        let own = node.callers.caller().peer_address();
        let peers: Vec<SocketAddr> = {
            let table = node.directory.instances();
            let others = table.iter().map(|(_, record)| record.peer);
            others.filter(|peer| *peer != own).collect()
        };
        for peer in peers {
            let (links, news) = (Rc::clone(&node.links), news.clone());
            let deadline = Instant::now() + SUSPECT_PAUSE;
            // A node that does not hear now hears again while the news is fresh.
            actix_rt::spawn(async move { links.report_suspects(peer, news, deadline).await });
        }
    }
}
