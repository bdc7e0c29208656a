//! Assembles a node from its parts and runs it.

mod background_tasks;
mod document_exchange;
mod node_dump;
mod node_listeners;
mod node_parts;
mod suspect_reports;

use self::node_listeners::BoundListeners;

use crate::{
    active_count::ActiveCount,
    caller_listener::CallerListener,
    calling::{peer_links::PeerLinks, peer_table::PeerTable},
    directory::FleetDirectory,
    error::{Result, SignalsSnafu},
    events,
    header_scheme::HeaderScheme,
    lifecycle::{
        planned_stop::{self, StopParts},
        ready_listener::ReadyListener,
    },
    quota::{fleet_counters::FleetCounters, quota_counters::QuotaCounters, quota_gate::QuotaGate},
    serving::upstream_server::UpstreamServer,
    state_dump::StateDump,
};

use lagoonshore_settings::{RelaySettings, relay_settings::RelayListenSettings};
use lagoonshore_state::upstream_list::{UpstreamLimit, UpstreamRun};
use lagoonshore_transport::{memory_budget::MemoryBudget, signals};
use snafu::ResultExt;
use std::{net::SocketAddr, rc::Rc};
use tracing::{info, warn};

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
    pub(crate) fleet_counters: Rc<FleetCounters>,
    pub(crate) quota_counters: Rc<QuotaCounters>,
    pub(crate) quota_gate: Rc<QuotaGate>,
    scheme: HeaderScheme,
    budget: MemoryBudget,
}

impl RelayNode {
    /// Creates a node with an empty view of the fleet.
    ///
    /// # Errors
    /// [`crate::RelayError::Random`] if the operating system provides no random numbers.
    pub fn new(settings: RelaySettings, scheme: HeaderScheme) -> Result<Rc<Self>> {
        node_parts::assemble(settings, scheme).map(Rc::new)
    }

    /// Opens the listeners and serves them on the current thread; returns their bound addresses.
    ///
    /// # Errors
    /// [`crate::RelayError::Listener`] if a listener cannot be opened.
    pub async fn open(self: &Rc<Self>) -> Result<RelayListenSettings> {
        let listeners = BoundListeners::bind(self.settings.listen).await?;
        let bound = listeners.addresses();
        self.set_peer_address(bound.peers);
        listeners.serve(self);
        background_tasks::start(self, bound.peers);
        info!(
            event = events::RELAY_STARTED,
            node = %self.settings.node, service = %self.settings.service,
            zone = %self.settings.zone, callers = %bound.callers, peers = %bound.peers,
            "relay: started"
        );
        Ok(bound)
    }

    /// Sets the bound address at which other nodes reach this one.
    fn set_peer_address(&self, address: SocketAddr) {
        self.directory.set_peer_port(address.port());
        self.callers.forwarder().set_peer_address(address);
        self.fleet_counters.set_own_address(address);
    }

    /// Returns a snapshot of the state of the node for operators.
    #[must_use]
    pub fn dump(&self) -> StateDump {
        node_dump::of(self)
    }

    /// Admits the requests of accounts with quotas.
    #[must_use]
    pub const fn quota_gate(&self) -> &Rc<QuotaGate> {
        &self.quota_gate
    }

    /// Records that a run of the upstream beside the node at `peer` announced its departure.
    pub fn record_departure(&self, peer: SocketAddr, run: &UpstreamRun) {
        self.peer_table.record_departure(peer, run);
    }

    /// Records the limit on its rate that the upstream beside the node at `peer` names.
    pub fn record_limit(&self, peer: SocketAddr, limit: Option<&UpstreamLimit>) {
        self.peer_table.record_limit(peer, limit);
    }

    /// Calls `reload` at each SIGHUP.
    ///
    /// # Errors
    /// [`crate::RelayError::Signals`] if no handler can be installed.
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
    /// [`crate::RelayError::Signals`] if no handler can be installed.
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
