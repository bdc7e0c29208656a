//! State that the listeners and tasks of one node share. Its parts know neither the node nor the
//! modules that work on it.

pub mod admission_gate;
pub mod exclusive_gate;
pub mod gossip_state;
pub mod keyed_executions;
pub mod node_protection;
pub mod refused_record;

use self::{
    admission_gate::AdmissionGate,
    gossip_state::GossipState,
    keyed_executions::{HomeMembers, KeyedExecutions},
    node_protection::NodeProtection,
    refused_record::RefusedRecord,
};

use crate::error::{DaemonError, Result};

use lagoonshore_coordination::{
    admission::{level_table::LevelTable, refusal_counters::RefusalCounters},
    lifecycle::{drain::DrainControl, readiness::ReadinessState},
    request::call_table::CallTable,
    retries::RetryControl,
    routing::{PeerSelector, RoutingOrigin},
};
use lagoonshore_protocol::messages::LoadReport;
use lagoonshore_settings::{ControlMode, NodeSettings};
use lagoonshore_state::{
    admission_level,
    counters::NodeCounters,
    ids::{CallerHash, IncarnationId, ServiceName},
    instance_table::InstanceTable,
    policy::ServicePolicy,
    policy_set::PolicySet,
};
use lagoonshore_transport::{peer_link::PeerLinks, upstream_client::UpstreamClient};
use rand::{
    RngCore, SeedableRng,
    rngs::{SmallRng, StdRng},
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};
use tokio::time::Instant;

/// Maximum size of a response of the upstream, in bytes.
pub const RESPONSE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// `SharedNode` is a reference to the node, as its listeners and tasks hold it.
pub type SharedNode = Rc<Node>;

/// `PlatformState` holds the results of reading the platform.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct PlatformState {
    /// Whether the last read succeeded; `None` before the first.
    pub reachable: Option<bool>,
    /// Reads made since the start.
    pub reads: u64,
    /// Reads that failed.
    pub failures: u64,
}

/// `Node` holds the state of one node. It is confined to one thread.
pub struct Node {
    /// Settings the node was started with.
    pub settings: NodeSettings,
    /// Random id of this run of the node.
    pub incarnation: IncarnationId,
    /// Policies in force.
    pub policies: RefCell<PolicySet>,
    /// Last refused record of each service.
    pub refused_records: RefCell<BTreeMap<ServiceName, RefusedRecord>>,
    /// Policy distribution and membership.
    pub gossip: GossipState,
    /// Instances known from lists and digests.
    pub instances: RefCell<InstanceTable>,
    /// Admission to the local upstream.
    pub gate: AdmissionGate,
    /// Requests dispatched to the upstream that have not ended.
    pub calls: RefCell<CallTable>,
    /// Selection of the instance that a call goes to.
    pub selector: RefCell<PeerSelector>,
    /// Limits on retries and hedges.
    pub retries: RefCell<RetryControl>,
    /// Idempotency keys and the ledger of their executions.
    pub executions: KeyedExecutions,
    /// Connections to other nodes.
    pub links: PeerLinks,
    /// HTTP client of the local upstream.
    pub upstream: UpstreamClient,
    /// Health and crash protection of the upstream, and the state of a planned stop.
    pub protection: NodeProtection,
    /// Lifecycle of the node.
    pub drain: RefCell<DrainControl>,
    /// Request counters since the start.
    pub counters: RefCell<NodeCounters>,
    /// Refusals by reason.
    pub refusals: RefCell<RefusalCounters>,
    /// State of the platform reads.
    pub platform: RefCell<PlatformState>,
    /// Random numbers for decisions; not used for secrets.
    pub random: RefCell<SmallRng>,
    /// Maximum number of inbound connections, set by the policy in force.
    pub connections: Rc<Cell<u32>>,
    /// Admission levels that called services reported.
    pub levels: RefCell<LevelTable>,
}

impl Node {
    /// Creates a node with no policy in force.
    ///
    /// # Errors
    /// [`DaemonError::Random`] if the operating system provides no random numbers.
    pub fn new(settings: NodeSettings) -> Result<SharedNode> {
        let random = |error: getrandom::Error| DaemonError::Random {
            message: error.to_string(),
        };
        let incarnation = getrandom::u64().map_err(random)?;
        let origin = RoutingOrigin {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let mut seed = [0; 32];
        getrandom::fill(&mut seed).map_err(random)?;
        let executions = KeyedExecutions::new(&settings, incarnation, &mut StdRng::from_seed(seed));
        let links = PeerLinks::new(executions.stamper());
        let (gate, protection) = (AdmissionGate::default(), NodeProtection::default());
        let started = gate.clone();
        protection.add_cold_start_hook(Rc::new(move |_| started.slow_start()));
        Ok(Rc::new(Self {
            incarnation,
            executions,
            policies: RefCell::default(),
            refused_records: RefCell::default(),
            gossip: GossipState::new(&settings),
            instances: RefCell::default(),
            gate,
            calls: RefCell::default(),
            selector: RefCell::new(PeerSelector::new(origin)),
            retries: RefCell::default(),
            links,
            upstream: UpstreamClient::new(settings.upstream.address, RESPONSE_BYTES_MAX),
            protection,
            drain: RefCell::default(),
            counters: RefCell::default(),
            refusals: RefCell::default(),
            platform: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(incarnation)),
            connections: Rc::new(Cell::new(1024)),
            levels: RefCell::default(),
            settings,
        }))
    }

    /// Policy in force for `service`.
    #[must_use]
    pub fn policy(&self, service: &str) -> Option<Rc<ServicePolicy>> {
        let policies = self.policies.borrow();
        policies.get(service).map(|entry| Rc::clone(&entry.policy))
    }

    /// Returns whether the node forwards everything without admission, retry or hedge decisions.
    #[must_use]
    pub fn is_pass_through(&self) -> bool {
        self.settings.control == ControlMode::PassThrough
    }

    /// Returns whether the node serves; a new node first fetches the newest policies it can reach.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let (policies, table) = (self.policies.borrow(), self.instances.borrow());
        self.gossip.evaluate_readiness(&policies, &table) == ReadinessState::Ready
    }

    /// Instances of the node's own service, among which the home of a caller-made key is chosen.
    pub(crate) fn home_members(&self) -> HomeMembers {
        let (table, own) = (self.instances.borrow(), &self.settings.instance);
        let listed = table.of_service(&self.settings.service);
        let listed = listed.map(|(_, record)| record.name.clone());
        HomeMembers {
            own: own.clone(),
            names: listed.chain([own.clone()]).collect(),
            is_confirmed: self.platform.borrow().reachable == Some(true),
        }
    }

    /// Records a change of the members, or of whether the platform confirms them.
    pub(crate) fn observe_members(&self) {
        self.executions.observe_members(&self.home_members());
    }

    /// Hash of an opaque caller id, equal on all nodes; random if the caller gives none.
    #[must_use]
    pub fn caller_hash(&self, caller: Option<&str>) -> CallerHash {
        let random = || self.random.borrow_mut().next_u64();
        caller.map_or_else(random, admission_level::caller_hash)
    }

    /// Load for replies to peers, for requests with `method` and `path`.
    #[must_use]
    pub fn load_for(&self, method: &str, path: &str) -> LoadReport {
        let policy = self.policy(&self.settings.service);
        let class = policy.map(|policy| policy.class_of(method, path).name);
        self.load(&class.unwrap_or_default())
    }

    /// Load for replies to peers, for requests of `class`.
    #[must_use]
    pub fn load(&self, class: &str) -> LoadReport {
        let load = self.gate.load();
        let route = self.levels.borrow().route_level(Instant::now(), class);
        LoadReport {
            in_progress: load.in_progress,
            limit: load.limit,
            queued: load.queued,
            draining: self.drain.borrow().is_draining(),
            level: self.gate.level().stricter_of(route),
        }
    }
}
