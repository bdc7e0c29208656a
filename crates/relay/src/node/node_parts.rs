//! Creates the parts of a node and joins them.

use super::{RelayNode, document_exchange, suspect_reports};

use crate::{
    active_count::ActiveCount,
    caller_listener::CallerListener,
    calling::{
        peer_links::{LinkEvent, PeerLinks},
        peer_table::PeerTable,
        request_forwarder::RequestForwarder,
    },
    decision_log::DecisionLog,
    directory::FleetDirectory,
    error::{RelayError, Result},
    header_scheme::HeaderScheme,
    lifecycle::ready_listener::ReadyListener,
    quota::{
        fleet_counters::FleetCounters, quota_counters::QuotaCounters, quota_gate::QuotaGate,
        quota_log::QuotaLog,
    },
    serving::upstream_server::UpstreamServer,
    suspect_tracker::SuspectTracker,
};

use lagoonshore_coordination::forwarding::document_proof::ProofBounds;
use lagoonshore_settings::{RelaySettings, relay_settings::StoreSettings};
use lagoonshore_transport::memory_budget::MemoryBudget;
use rand::{SeedableRng, rngs::SmallRng};
use std::{net::SocketAddr, rc::Rc};

/// Bytes in one MiB.
const BYTES_PER_MIB: usize = 1024 * 1024;
/// Part of the memory of the process that messages may hold together.
const MESSAGE_MEMORY_DIVISOR: usize = 2;

/// Creates a node with an empty view of the fleet.
///
/// # Errors
/// [`RelayError::Random`] if the operating system provides no random numbers.
pub(super) fn assemble(settings: RelaySettings, scheme: HeaderScheme) -> Result<RelayNode> {
    let shared = SharedParts::new(&settings, scheme)?;
    let server = Rc::new(shared.create_server(&settings));
    let forwarder = shared.create_forwarder(&settings, &server);
    let quotas = QuotaParts::new(&settings, &shared);
    let callers = shared.create_caller_listener(&server, forwarder, &quotas);
    let ready = ReadyListener::new(Rc::clone(&shared.directory));
    shared.handle_link_events(Rc::clone(server.suspects()));
    Ok(RelayNode {
        settings,
        directory: shared.directory,
        server,
        callers: Rc::new(callers),
        ready: Rc::new(ready),
        caller_connections: ActiveCount::default(),
        links: shared.links,
        peer_table: shared.peer_table,
        fleet_counters: quotas.fleet_counters,
        quota_counters: quotas.quota_counters,
        quota_gate: quotas.quota_gate,
        scheme,
        budget: shared.budget,
    })
}

/// `SharedParts` are the parts that the listeners of a node share.
struct SharedParts {
    scheme: HeaderScheme,
    directory: Rc<FleetDirectory>,
    log: Rc<DecisionLog>,
    peer_table: Rc<PeerTable>,
    links: Rc<PeerLinks>,
    budget: MemoryBudget,
}

impl SharedParts {
    fn new(settings: &RelaySettings, scheme: HeaderScheme) -> Result<Self> {
        let random = create_random()?;
        let region = settings.region.clone();
        let directory = Rc::new(FleetDirectory::new(settings.upstream, region));
        directory.proofs().set_bounds(proof_bounds(&settings.store));
        let peer_table = PeerTable::new(settings, Rc::clone(&directory), random);
        let budget = MemoryBudget::new(message_bytes(settings.memory_mib));
        Ok(Self {
            scheme,
            directory,
            log: Rc::default(),
            peer_table: Rc::new(peer_table),
            links: PeerLinks::new(budget.clone()),
            budget,
        })
    }

    fn create_server(&self, settings: &RelaySettings) -> UpstreamServer {
        let (directory, log) = (Rc::clone(&self.directory), Rc::clone(&self.log));
        UpstreamServer::new(settings, self.scheme, directory, log, self.budget.clone())
    }

    fn create_forwarder(
        &self,
        settings: &RelaySettings,
        server: &Rc<UpstreamServer>,
    ) -> RequestForwarder {
        RequestForwarder::new(
            settings,
            self.scheme,
            Rc::clone(&self.directory),
            Rc::clone(&self.log),
            Rc::clone(&self.peer_table),
            Rc::clone(&self.links),
            Rc::clone(server),
        )
    }

    fn create_caller_listener(
        &self,
        server: &UpstreamServer,
        forwarder: RequestForwarder,
        quotas: &QuotaParts,
    ) -> CallerListener {
        CallerListener::new(
            self.scheme,
            Rc::clone(&self.directory),
            Rc::clone(server.running_table()),
            Rc::clone(&self.log),
            forwarder,
            Rc::clone(&quotas.quota_gate),
        )
    }

    /// Records the events of links, and tells a reconnected node what it may have missed.
    fn handle_link_events(&self, suspects: Rc<SuspectTracker>) {
        let peer_table = Rc::clone(&self.peer_table);
        let directory = Rc::clone(&self.directory);
        // The links own the handler.
        let weak_links = Rc::downgrade(&self.links);
        self.links.set_event_handler(Rc::new(move |address, event| {
            peer_table.record_link_event(address, event);
            if event == LinkEvent::Reconnected
                && let Some(links) = weak_links.upgrade()
            {
                update_reconnected(links, &suspects, Rc::clone(&directory), address);
            }
        }));
    }
}

/// Sends the quarantined suspects and, if it has none, a document to the node at `address`.
fn update_reconnected(
    links: Rc<PeerLinks>,
    suspects: &SuspectTracker,
    directory: Rc<FleetDirectory>,
    address: SocketAddr,
) {
    let reports = suspects.quarantine_reports();
    actix_rt::spawn(suspect_reports::send(Rc::clone(&links), reports, address));
    let push = document_exchange::push_snapshot_if_empty(links, directory, address);
    actix_rt::spawn(push);
}

/// `QuotaParts` are the parts that admit the requests of accounts with quotas.
struct QuotaParts {
    fleet_counters: Rc<FleetCounters>,
    quota_counters: Rc<QuotaCounters>,
    quota_gate: Rc<QuotaGate>,
}

impl QuotaParts {
    fn new(settings: &RelaySettings, shared: &SharedParts) -> Self {
        let directory = Rc::clone(&shared.directory);
        let fleet_counters = Rc::new(FleetCounters::new(settings, directory));
        let log = Rc::new(QuotaLog::default());
        let quota_counters = QuotaCounters::new(
            Rc::clone(&fleet_counters),
            Rc::clone(&shared.links),
            Rc::clone(&log),
        );
        let quota_gate = QuotaGate::new(
            settings.control,
            Rc::clone(&fleet_counters),
            Rc::clone(&quota_counters),
            Rc::clone(&shared.links),
            log,
        );
        Self {
            fleet_counters,
            quota_counters,
            quota_gate,
        }
    }
}

/// Creates the random numbers for decisions; they are not used for secrets.
fn create_random() -> Result<SmallRng> {
    let seed = getrandom::u64().map_err(|error| RelayError::Random {
        message: error.to_string(),
    })?;
    Ok(SmallRng::seed_from_u64(seed))
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
