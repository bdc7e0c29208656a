//! When a new process may serve: once it holds the highest revision that any reachable peer or
//! the platform offers, or after a bounded wait.

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

/// Longest wait for the platform and the peers.
pub const READINESS_WAIT_MAX: Duration = Duration::from_secs(5);
/// Longest wait for what is needed of the called services; longer than the time over which nodes
/// that start together spread their first reads of it.
pub const CALLEES_WAIT_MAX: Duration = Duration::from_secs(12);
/// Peers whose answers suffice.
const PEERS_ASKED: usize = 3;

id_type! {
    /// `ReadinessState` says whether a node serves.
    #[serde(rename_all = "kebab-case")]
    pub enum ReadinessState {
        /// The node still asks what the newest policies are.
        Starting,
        /// The node serves.
        Ready,
    }
}

/// `KnownFleet` is what a node knows of the others.
#[derive(Clone, Copy, Debug)]
pub struct KnownFleet {
    /// Other nodes that are known.
    pub peers: usize,
    /// Whether a policy and an instance are known of each service that the own one calls; without
    /// them the node can give no whole answer.
    pub callees_known: bool,
}

/// `ReadinessControl` follows the start of a node.
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
    /// Creates a control of a node of `service` that starts at `now`.
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

    /// Creates a control of a node that has nobody to ask.
    #[must_use]
    pub fn ready(service: ServiceName, now: Instant) -> Self {
        let mut control = Self::starting(service, now);
        control.state = ReadinessState::Ready;
        control
    }

    /// Whether the node serves.
    #[must_use]
    pub const fn state(&self) -> ReadinessState {
        self.state
    }

    /// Notes that the platform answered, or cannot be reached, for the own record.
    pub const fn mark_platform_asked(&mut self) {
        self.platform_asked = true;
    }

    /// Notes that a peer answered, or cannot be reached.
    pub fn mark_peer_asked(&mut self, peer: &InstanceName) {
        if self.state == ReadinessState::Starting {
            self.peers_asked.insert(peer.clone());
        }
    }

    /// Notes that `revision` of the record of `service` is offered somewhere.
    pub fn record_offer(&mut self, service: &ServiceName, revision: PolicyRevision) {
        if self.state == ReadinessState::Starting {
            let highest = self.highest.entry(service.clone()).or_default();
            *highest = revision.max(*highest);
        }
    }

    /// Notes that an offer cannot be taken in by this node.
    pub fn drop_offer(&mut self, service: &str) {
        self.highest.remove(service);
    }

    /// Decides again; `peers` counts the peers that the node knows. A ready node stays ready.
    pub fn evaluate(
        &mut self,
        now: Instant,
        policies: &PolicySet,
        fleet: KnownFleet,
    ) -> ReadinessState {
        let has_callees = fleet.callees_known || now >= self.callees_deadline;
        let is_newest = now >= self.deadline || self.holds_the_highest(policies, fleet.peers);
        if has_callees && is_newest {
            self.state = ReadinessState::Ready;
        }
        self.state
    }

    fn holds_the_highest(&self, policies: &PolicySet, peers: usize) -> bool {
        let holds = |(service, revision): (&ServiceName, &PolicyRevision)| {
            policies
                .revision(service)
                .is_some_and(|held| held >= *revision)
        };
        self.platform_asked
            && self.peers_asked.len() >= peers.min(PEERS_ASKED)
            && policies.get(&self.service).is_some()
            && self.highest.iter().all(holds)
    }
}
