//! What the doors of one node share.

use crate::{
    admission_gate::AdmissionGate,
    error::{DaemonError, Result},
};

use lagoonshore_coordination::{
    call_table::CallTable,
    drain::DrainControl,
    retries::RetryControl,
    routing::{PeerSelector, RoutingOrigin},
};
use lagoonshore_protocol::messages::LoadReport;
use lagoonshore_settings::NodeSettings;
use lagoonshore_state::{
    counters::NodeCounters,
    ids::{CallerHash, IncarnationId, PolicyRevision, ServiceName},
    instance_table::InstanceTable,
    policy::ServicePolicy,
    policy_set::PolicySet,
};
use lagoonshore_transport::{peer_link::PeerLinks, upstream_client::UpstreamClient};
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    hash::{BuildHasher, RandomState},
    rc::Rc,
};

/// Largest answer of an upstream, in bytes.
pub const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;

/// `SharedNode` is a node as its doors and tasks hold it.
pub type SharedNode = Rc<Node>;

/// `RecordFault` is the last refused offer of a policy record.
#[derive(Clone, Debug, serde::Serialize)]
pub struct RecordFault {
    /// What was wrong with it.
    pub message: String,
    /// Revision that stays in force.
    pub in_force: Option<PolicyRevision>,
}

/// `PlatformState` is what a node knows of the platform.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct PlatformState {
    /// Whether the last read succeeded; `None` before the first.
    pub reachable: Option<bool>,
    /// Reads made.
    pub reads: u64,
    /// Reads that failed.
    pub failures: u64,
}

/// `Node` holds the state of one node. It lives on one thread.
pub struct Node {
    /// Settings the node started with.
    pub settings: NodeSettings,
    /// This run of the node.
    pub incarnation: IncarnationId,
    /// Policies in force.
    pub policies: RefCell<PolicySet>,
    /// Last refused record of each service.
    pub faults: RefCell<BTreeMap<ServiceName, RecordFault>>,
    /// Known instances.
    pub instances: RefCell<InstanceTable>,
    /// Admission to the own upstream.
    pub gate: AdmissionGate,
    /// Requests that the upstream is serving.
    pub calls: RefCell<CallTable>,
    /// Choice of peers.
    pub selector: RefCell<PeerSelector>,
    /// Bounds on the repeats of the node.
    pub retries: RefCell<RetryControl>,
    /// Links to peers.
    pub links: PeerLinks,
    /// Client of the own upstream.
    pub upstream: UpstreamClient,
    /// Stage of a planned stop.
    pub drain: RefCell<DrainControl>,
    /// Counters.
    pub counters: RefCell<NodeCounters>,
    /// Link to the platform.
    pub platform: RefCell<PlatformState>,
    /// Random numbers for decisions.
    pub random: RefCell<SmallRng>,
    /// Bound on inbound connections, from the policy.
    pub connections: Rc<Cell<u32>>,
    caller_hasher: RandomState,
}

impl Node {
    /// Creates a node with nothing in force.
    ///
    /// # Errors
    /// [`DaemonError::Random`] if the operating system gives no random numbers.
    pub fn new(settings: NodeSettings) -> Result<SharedNode> {
        let random = |fault: getrandom::Error| DaemonError::Random {
            message: fault.to_string(),
        };
        let incarnation = getrandom::u64().map_err(random)?;
        let origin = RoutingOrigin {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        Ok(Rc::new(Self {
            incarnation,
            policies: RefCell::default(),
            faults: RefCell::default(),
            instances: RefCell::default(),
            gate: AdmissionGate::default(),
            calls: RefCell::default(),
            selector: RefCell::new(PeerSelector::new(origin)),
            retries: RefCell::default(),
            links: PeerLinks::default(),
            upstream: UpstreamClient::new(settings.upstream.address, ANSWER_BYTES_MAX),
            drain: RefCell::default(),
            counters: RefCell::default(),
            platform: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(incarnation)),
            connections: Rc::new(Cell::new(1024)),
            caller_hasher: RandomState::new(),
            settings,
        }))
    }

    /// Policy in force for `service`.
    #[must_use]
    pub fn policy(&self, service: &str) -> Option<Rc<ServicePolicy>> {
        let policies = self.policies.borrow();
        policies.get(service).map(|entry| Rc::clone(&entry.policy))
    }

    /// Hash of an opaque caller id.
    #[must_use]
    pub fn caller_hash(&self, caller: &str) -> CallerHash {
        self.caller_hasher.hash_one(caller)
    }

    /// Load as replies to peers carry it.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let load = self.gate.load();
        LoadReport {
            in_progress: load.in_progress,
            limit: load.limit,
            queued: load.queued,
            draining: self.drain.borrow().is_draining(),
        }
    }
}
