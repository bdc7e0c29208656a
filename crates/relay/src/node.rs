//! Assembles a node from its parts and runs it.

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
    http1::server::{self, ServerLimits},
    lifecycle::{
        planned_stop::{self, StopParts},
        ready_listener::ReadyListener,
    },
    peer_listener::PeerListener,
    process_limits,
    quota::{
        fleet_counters::FleetCounters,
        quota_counters::QuotaCounters,
        quota_gate::QuotaGate,
        quota_log::QuotaLog,
        quota_view::{self, QuotaDump},
    },
    serving::upstream_server::UpstreamServer,
    state_dump::{self, StateDump},
    store_view::{proof_seeker::ProofSeeker, store_follower::StoreFollower},
};

use actix_rt::net::TcpListener;
use lagoonshore_coordination::{
    forwarding::document_proof::ProofBounds,
    gossip::report_spread::{self, REPORT_INTERVAL},
    protection::suspects::SuspectReport,
};
use lagoonshore_settings::{
    RelaySettings,
    relay_settings::{RelayListenSettings, StoreSettings},
};
use lagoonshore_state::upstream_list::{UpstreamLimit, UpstreamRun};
use lagoonshore_transport::{
    http_listener, memory_budget::MemoryBudget, metrics_recorder, signals,
};
use rand::{SeedableRng, rngs::SmallRng};
use snafu::ResultExt;
use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;
use tracing::{info, warn};

/// Concurrent connections of operators, and of readiness checks.
const ADMIN_CONNECTIONS_MAX: usize = 32;
/// Timeout for fetching a document from another node, or for pushing a snapshot to it.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time given to the store to deliver a document that another node already has, before it is
/// fetched from that node.
const DOCUMENT_PULL_DELAY: Duration = Duration::from_millis(200);
/// Time given to a reconnected node to read the store itself, before a snapshot of the fleet is
/// pushed to it.
const SNAPSHOT_PUSH_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a report of suspects to another node.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes in one MiB.
const BYTES_PER_MIB: usize = 1024 * 1024;
/// Part of the memory of the process that messages may hold together.
const MESSAGE_MEMORY_DIVISOR: usize = 2;

/// `RelayNode` is a node with all its parts.
pub struct RelayNode {
    /// Settings at the start of the process; reloads do not change them.
    pub settings: RelaySettings,
    /// The node's view of the fleet.
    pub directory: Rc<FleetDirectory>,
    /// Runs requests on the local upstream.
    pub server: Rc<UpstreamServer>,
    /// Listener for callers, with the forwarding side.
    pub callers: Rc<CallerListener>,
    /// Listener for readiness checks.
    pub ready: Rc<ReadyListener>,
    /// Open connections of callers.
    pub caller_connections: ActiveCount,
    links: Rc<PeerLinks>,
    peer_table: Rc<PeerTable>,
    fleet_counters: Rc<FleetCounters>,
    quota_counters: Rc<QuotaCounters>,
    quota_gate: Rc<QuotaGate>,
    scheme: HeaderScheme,
    budget: MemoryBudget,
}

impl RelayNode {
    /// Creates a node with an empty view of the fleet.
    ///
    /// # Errors
    /// [`RelayError::Random`] if the operating system provides no random numbers.
    pub fn new(settings: RelaySettings, scheme: HeaderScheme) -> Result<Rc<Self>> {
        let seed = getrandom::u64().map_err(|error| RelayError::Random {
            message: error.to_string(),
        })?;
        let region = settings.region.clone();
        let directory = Rc::new(FleetDirectory::new(settings.upstream, region));
        directory.proofs().set_bounds(proof_bounds(&settings.store));
        let log = Rc::new(DecisionLog::default());
        let random = SmallRng::seed_from_u64(seed);
        let peer_table = Rc::new(PeerTable::new(&settings, Rc::clone(&directory), random));
        let budget = MemoryBudget::new(message_bytes(settings.memory_mib));
        let links = PeerLinks::new(budget.clone());
        let (server_log, server_budget) = (Rc::clone(&log), budget.clone());
        let fleet = Rc::clone(&directory);
        let server = UpstreamServer::new(&settings, scheme, fleet, server_log, server_budget);
        let server = Rc::new(server);
        let forwarder = RequestForwarder::new(
            &settings,
            scheme,
            Rc::clone(&directory),
            Rc::clone(&log),
            Rc::clone(&peer_table),
            Rc::clone(&links),
            Rc::clone(&server),
        );
        let fleet_counters = Rc::new(FleetCounters::new(&settings, Rc::clone(&directory)));
        let quota_log = Rc::new(QuotaLog::default());
        let quota_counters = QuotaCounters::new(
            Rc::clone(&fleet_counters),
            Rc::clone(&links),
            Rc::clone(&quota_log),
        );
        let quota_gate = QuotaGate::new(
            settings.control,
            Rc::clone(&fleet_counters),
            Rc::clone(&quota_counters),
            Rc::clone(&links),
            quota_log,
        );
        let table = Rc::clone(server.running_table());
        let callers = CallerListener::new(
            scheme,
            Rc::clone(&directory),
            table,
            log,
            forwarder,
            Rc::clone(&quota_gate),
        );
        let ready = Rc::new(ReadyListener::new(Rc::clone(&directory)));
        let (link_peers, fleet) = (Rc::clone(&peer_table), Rc::clone(&directory));
        let (weak_links, suspects) = (Rc::downgrade(&links), Rc::clone(server.suspects()));
        links.set_event_handler(Rc::new(move |address, event| {
            link_peers.record_link_event(address, event);
            if event == LinkEvent::Reconnected
                && let Some(links) = weak_links.upgrade()
            {
                let reports = suspects.quarantine_reports();
                actix_rt::spawn(report_suspects(Rc::clone(&links), reports, address));
                actix_rt::spawn(push_snapshot_if_empty(links, Rc::clone(&fleet), address));
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
            peer_table,
            fleet_counters,
            quota_counters,
            quota_gate,
            scheme,
            budget,
        }))
    }

    /// Opens the listeners and serves them on the current thread; returns their bound addresses.
    ///
    /// # Errors
    /// [`RelayError::Listener`] if a listener cannot be opened.
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
        self.callers.forwarder().set_peer_address(bound.peers);
        self.fleet_counters.set_own_address(bound.peers);
        let serving = server::serve(
            callers,
            Rc::clone(&self.callers),
            self.scheme,
            Rc::clone(&self.caller_connections),
            self.caller_limits(),
        );
        actix_rt::spawn(serving);
        let (count, scheme) = (ActiveCount::default(), self.scheme);
        let serving = server::serve(
            ready,
            Rc::clone(&self.ready),
            scheme,
            count,
            self.limits(ADMIN_CONNECTIONS_MAX),
        );
        actix_rt::spawn(serving);
        let (upstream, fleet) = (Rc::clone(&self.server), Rc::clone(&self.directory));
        let counters = Rc::clone(&self.quota_counters);
        let listener = PeerListener::new(upstream, fleet, counters, self.budget.clone());
        actix_rt::spawn(listener.serve_links(peers));
        let metrics = metrics_recorder::handle();
        let node = Rc::clone(self);
        let state = Box::new(move || node.dump());
        let node = Rc::clone(self);
        let explain = Box::new(move |host: &str, target: &str| {
            node.callers.forwarder().explain(host, target)
        });
        let listener = Rc::new(AdminListener::new(metrics.clone(), state, explain));
        let serving = server::serve(
            admin,
            listener,
            scheme,
            ActiveCount::default(),
            self.limits(ADMIN_CONNECTIONS_MAX),
        );
        actix_rt::spawn(serving);
        actix_rt::spawn(metrics_recorder::run_upkeep(metrics));
        actix_rt::spawn(apply_directory_changes(Rc::clone(self)));
        actix_rt::spawn(spread_suspects(Rc::clone(self)));
        actix_rt::spawn(pull_newer_documents(Rc::clone(self)));
        let (directory, links) = (Rc::clone(&self.directory), Rc::clone(&self.links));
        let follower = StoreFollower::new(&self.settings.store, directory, links);
        actix_rt::spawn(follower.run());
        let (directory, links) = (Rc::clone(&self.directory), Rc::clone(&self.links));
        actix_rt::spawn(ProofSeeker::new(directory, links, bound.peers).run());
        info!(
            event = events::RELAY_STARTED,
            node = %self.settings.node, service = %self.settings.service,
            zone = %self.settings.zone, callers = %bound.callers, peers = %bound.peers,
            "relay: started"
        );
        Ok(bound)
    }

    /// Limits of the listener for callers, whose connections have to fit the descriptors and the memory of
    /// the process.
    fn caller_limits(&self) -> ServerLimits {
        let process = process_limits::of_process(&self.settings);
        let connections = process.caller_connections(self.settings.callers.connections);
        self.limits(usize::try_from(connections).unwrap_or(usize::MAX))
    }

    /// Limits of a listener with `connections` connections at most.
    fn limits(&self, connections: usize) -> ServerLimits {
        let callers = self.settings.callers;
        ServerLimits {
            connections,
            body_time: callers.body_time,
            body_bytes_per_second: callers.body_bytes_per_second,
            response_time: callers.response_time,
            response_bytes_per_second: callers.response_bytes_per_second,
            budget: self.budget.clone(),
        }
    }

    /// Returns a snapshot of the state of the node for operators.
    #[must_use]
    pub fn dump(&self) -> StateDump {
        let status = self.server.node_status();
        StateDump {
            node: self.settings.node.clone(),
            service: self.settings.service.clone(),
            is_ready: self.ready.is_ready(),
            version: self.directory.version(),
            refused_entries: self.directory.refused_count(),
            store: state_dump::store(&self.directory),
            slots: crate::serving::slot_limiter::SlotUsage {
                in_use: status.in_use,
                limit: status.limit,
                queued: status.queued,
            },
            calls: self.callers.forwarder().running(),
            served: self.server.running(),
            upstream_connections: self.server.connections_opened(),
            links: self.links.len(),
            caller_connections: self.caller_connections.get(),
            memory: self.budget.report(),
            zone_shares: self.peer_table.zone_shares(),
            instances: state_dump::instances(&self.directory, &self.peer_table),
            quotas: self.quota_dump(),
            routes: self
                .directory
                .routes()
                .routes()
                .into_iter()
                .cloned()
                .collect(),
            accounts: state_dump::accounts(&self.directory),
        }
    }

    /// Admits the requests of accounts with quotas.
    #[must_use]
    pub const fn quota_gate(&self) -> &Rc<QuotaGate> {
        &self.quota_gate
    }

    fn quota_dump(&self) -> Option<QuotaDump> {
        let has_accounts = self.directory.routes().has_accounts();
        has_accounts
            .then(|| quota_view::dump(&self.fleet_counters, &self.quota_gate, &self.quota_counters))
    }

    /// Records that a run of the upstream beside the node at `peer` announced its departure.
    pub fn record_departure(&self, peer: SocketAddr, run: &UpstreamRun) {
        self.peer_table.record_departure(peer, run);
    }

    /// Records the limit on its rate that the upstream beside the node at `peer` names.
    pub fn record_limit(&self, peer: SocketAddr, limit: Option<&UpstreamLimit>) {
        self.peer_table.record_limit(peer, limit);
    }

    /// Fetches the document of the node at `peer`, which reported a newer version than the one in
    /// force here.
    async fn pull_document(&self, peer: SocketAddr) {
        let deadline = Instant::now() + DOCUMENT_TIMEOUT;
        // If the node does not respond, its next status triggers another attempt.
        if let Ok(Some(document)) = self.links.fetch_document(peer, deadline).await {
            self.directory
                .apply_document(document, DocumentSource::Peer);
        }
    }

    /// Calls `reload` at each SIGHUP.
    ///
    /// # Errors
    /// [`RelayError::Signals`] if no handler can be installed.
    pub fn on_reload(&self, reload: impl Fn() + 'static) -> Result<()> {
        signals::on_reload(reload).context(SignalsSnafu)
    }

    /// Applies reloaded settings. Only the bounds on retries and the zone settings change; addresses, names and memory
    /// take effect at the next start of the process.
    pub fn apply_settings(&self, settings: &RelaySettings) {
        self.callers
            .forwarder()
            .set_retry_settings(settings.retries);
        self.server.set_retry_settings(settings.retries);
        self.peer_table.set_zone_settings(settings.zones);
        info!(
            event = events::SETTINGS_RELOADED,
            ratio = settings.retries.ratio,
            slack = settings.retries.slack,
            "settings: reloaded"
        );
    }

    /// Logs that reloaded settings are invalid; those in force stay.
    pub fn refuse_settings(&self, error: &str) {
        warn!(
            event = events::SETTINGS_REFUSED,
            fault = error,
            "settings: refused"
        );
    }

    /// Waits for a stop signal and drains the node.
    ///
    /// # Errors
    /// [`RelayError::Signals`] if no handler can be installed.
    pub async fn run_until_stopped(&self) -> Result<()> {
        signals::wait_for_stop().await.context(SignalsSnafu)?;
        self.stop().await;
        Ok(())
    }

    /// Drains the node; returns when the process may exit.
    pub async fn stop(&self) {
        let parts = StopParts {
            callers: Rc::clone(&self.callers),
            caller_connections: Rc::clone(&self.caller_connections),
            server: Rc::clone(&self.server),
            ready: Rc::clone(&self.ready),
        };
        planned_stop::run(parts, self.settings.grace_time).await;
    }
}

/// Memory for the messages of a node, in bytes. The rest is for what the process holds besides: its
/// program and tables, the buffers of its connections, and what the allocator keeps.
fn message_bytes(memory_mib: u32) -> usize {
    let memory = usize::try_from(memory_mib).unwrap_or(usize::MAX);
    memory.saturating_mul(BYTES_PER_MIB) / MESSAGE_MEMORY_DIVISOR
}

/// Bounds of the proof that keys need, if the settings ask for one.
fn proof_bounds(store: &StoreSettings) -> Option<ProofBounds> {
    store.revocation_time.map(|revocation| ProofBounds {
        revocation,
        apply: store.apply_time,
    })
}

fn bound_address(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    // If the bound address is unavailable, the requested one is reported.
    listener.local_addr().unwrap_or(asked)
}

/// Applies each change of the directory to the upstream server, the forwarder and the links.
async fn apply_directory_changes(node: Rc<RelayNode>) {
    let mut changes = node.directory.changes();
    // Changes made before this task started have to be applied as well.
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        node.server.apply_upstream_list();
        node.callers.forwarder().apply_directory_change();
        node.fleet_counters.apply_directory_change();
        node.quota_counters.apply_directory_change();
        node.quota_gate.apply_directory_change();
        let listed: BTreeSet<SocketAddr> = {
            let table = node.directory.instances();
            table.iter().map(|(_, record)| record.peer).collect()
        };
        node.links.retain(|address| listed.contains(&address));
    }
}

/// Pushes a snapshot of the fleet to a reconnected node that still has no document, because the
/// store may be unreachable for it.
async fn push_snapshot_if_empty(
    links: Rc<PeerLinks>,
    directory: Rc<FleetDirectory>,
    address: SocketAddr,
) {
    actix_rt::time::sleep(SNAPSHOT_PUSH_DELAY).await;
    let deadline = Instant::now() + DOCUMENT_TIMEOUT;
    let Ok(status) = links.probe(address, deadline).await else {
        return;
    };
    if status.version == 0
        && let Some(snapshot) = directory.snapshot()
    {
        // If the push fails, another node pushes it.
        let _ = links.push_snapshot(address, snapshot, deadline).await;
    }
}

/// Fetches a newer document from another node if the store has not delivered it.
async fn pull_newer_documents(node: Rc<RelayNode>) {
    let mut peers = node.directory.versions().peers();
    while peers.changed().await.is_ok() {
        let known = *peers.borrow_and_update();
        if known.version <= node.directory.version() {
            continue;
        }
        actix_rt::time::sleep(DOCUMENT_PULL_DELAY).await;
        if let Some(peer) = known.peer
            && known.version > node.directory.version()
        {
            node.pull_document(peer).await;
        }
    }
}

/// Reports what is learned of suspects to other nodes, as long as it is recent.
async fn spread_suspects(node: Rc<RelayNode>) {
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        let reports = node.server.suspects().reports();
        if reports.is_empty() {
            continue;
        }
        let own_address = node.callers.forwarder().peer_address();
        let peers: Vec<SocketAddr> = {
            let table = node.directory.instances();
            let others = table.iter().map(|(_, record)| record.peer);
            others.filter(|peer| *peer != own_address).collect()
        };
        for peer in report_spread::choose_peers(&peers, &mut rand::rng()) {
            let (links, reports) = (Rc::clone(&node.links), reports.clone());
            actix_rt::spawn(report_suspects(links, reports, peer));
        }
    }
}

/// Reports suspects to the node at `address`.
async fn report_suspects(links: Rc<PeerLinks>, reports: Vec<SuspectReport>, address: SocketAddr) {
    if reports.is_empty() {
        return;
    }
    let deadline = Instant::now() + REPORT_TIMEOUT;
    // If the report fails, other nodes report the same suspects to that node.
    let _ = links.report_suspects(address, reports, deadline).await;
}
