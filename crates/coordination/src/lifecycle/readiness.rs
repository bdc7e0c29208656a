//! Readiness of a new process: it serves once it holds the highest revision that the platform or
//! any reachable peer offers, or after a bounded wait.

use lagoonshore_state::{
    id_type,
    ids::{InstanceName, PolicyRevision, ServiceName},
    policy_set::PolicySet,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Maximum wait for the replies of the platform and the peers.
pub const READINESS_WAIT_MAX: Duration = Duration::from_secs(5);
/// Maximum wait for the policies and instances of the called services. It exceeds the time over
/// which nodes that start together spread their first reads of them.
pub const CALLEES_WAIT_MAX: Duration = Duration::from_secs(12);
/// Number of peers whose replies suffice.
const PEER_REPLIES_NEEDED: usize = 3;

id_type! {
    /// `ReadinessState` says whether a node is ready to serve.
    #[serde(rename_all = "kebab-case")]
    pub enum ReadinessState {
        /// The node is still collecting the newest policies.
        Starting,
        /// The node is ready; it stays ready until it stops.
        Ready,
    }
}

/// `KnownFleet` summarises what a node knows about other nodes.
#[derive(Clone, Copy, Debug)]
pub struct KnownFleet {
    /// Number of other nodes that are known.
    pub peers: usize,
    /// Whether a policy and an instance are known for each service that the local service calls;
    /// without them the node cannot complete the requests that it serves.
    pub callees_known: bool,
}

/// `ReadinessControl` decides when a node that starts is ready.
#[derive(Debug)]
pub struct ReadinessControl {
    state: ReadinessState,
    service: ServiceName,
    deadline: Instant,
    callees_deadline: Instant,
    platform_asked: bool,
    peers_asked: BTreeSet<InstanceName>,
    highest: BTreeMap<ServiceName, PolicyRevision>,
}

impl ReadinessControl {
    /// Creates the control of a node of `service` that starts at `now`.
    #[must_use]
    pub fn starting(service: ServiceName, now: Instant) -> Self {
        Self {
            state: ReadinessState::Starting,
            service,
            deadline: now + READINESS_WAIT_MAX,
            callees_deadline: now + CALLEES_WAIT_MAX,
            platform_asked: false,
            peers_asked: BTreeSet::new(),
            highest: BTreeMap::new(),
        }
    }

    /// Creates the control of a node that is ready at once: it has no peers or platform to ask.
    #[must_use]
    pub fn ready(service: ServiceName, now: Instant) -> Self {
        let mut control = Self::starting(service, now);
        control.state = ReadinessState::Ready;
        control
    }

    /// Readiness of the node.
    #[must_use]
    pub const fn state(&self) -> ReadinessState {
        self.state
    }

    /// Records that the platform replied to the request for the record of the local service, or
    /// cannot be reached.
    pub const fn mark_platform_asked(&mut self) {
        self.platform_asked = true;
    }

    /// Records that a peer replied or cannot be reached.
    pub fn mark_peer_asked(&mut self, peer: &InstanceName) {
        if self.state == ReadinessState::Starting {
            self.peers_asked.insert(peer.clone());
        }
    }

    /// Records that the platform or a peer offers `revision` of the record of `service`.
    pub fn record_offer(&mut self, service: &ServiceName, revision: PolicyRevision) {
        if self.state == ReadinessState::Starting {
            let highest = self.highest.entry(service.clone()).or_default();
            *highest = revision.max(*highest);
        }
    }

    /// Stops waiting for the record of `service`, because this node cannot use the offered one.
    pub fn drop_offer(&mut self, service: &str) {
        self.highest.remove(service);
    }

    /// Updates the readiness from the policies held and the fleet known at `now`. A ready node
    /// stays ready.
    pub fn evaluate(
        &mut self,
        now: Instant,
        policies: &PolicySet,
        fleet: KnownFleet,
    ) -> ReadinessState {
        let has_callees = fleet.callees_known || now >= self.callees_deadline;
        let is_newest = now >= self.deadline || self.has_newest_records(policies, fleet.peers);
        if has_callees && is_newest {
            self.state = ReadinessState::Ready;
        }
        self.state
    }

    fn has_newest_records(&self, policies: &PolicySet, peers: usize) -> bool {
        let holds = |(service, revision): (&ServiceName, &PolicyRevision)| {
            policies
                .revision(service)
                .is_some_and(|held| held >= *revision)
        };
        self.platform_asked
            && self.peers_asked.len() >= peers.min(PEER_REPLIES_NEEDED)
            && policies.get(&self.service).is_some()
            && self.highest.iter().all(holds)
    }
}
