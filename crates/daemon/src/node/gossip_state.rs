//! State of policy distribution and membership on one node.

use lagoonshore_coordination::{
    gossip::{
        digest_schedule::DigestSchedule, membership::MemberTable, policy_digest::PolicyDigest,
        policy_distribution::PolicyDistribution,
    },
    lifecycle::readiness::{KnownFleet, ReadinessControl, ReadinessState},
    routing::RoutingOrigin,
};
use lagoonshore_settings::NodeSettings;
use lagoonshore_state::{
    data_type,
    instance_table::{InstanceRecord, InstanceState, InstanceTable},
    policy_set::PolicySet,
};
use std::{cell::RefCell, net::SocketAddr};
use tokio::time::Instant;

data_type! {
    /// `DistributionCounters` counts the messages about policies between nodes.
    #[derive(Copy, Default, Eq)]
    pub struct DistributionCounters {
        /// Exchanges started by this node.
        pub exchanges: u64,
        /// Exchanges that failed or timed out.
        pub exchange_failures: u64,
        /// Digests of peers that were merged.
        pub digests: u64,
        /// Digests dropped because of their size or their sender.
        pub digests_dropped: u64,
        /// Pulls started by this node.
        pub pulls: u64,
        /// Pulls in which a requested record was missing.
        pub pull_failures: u64,
        /// Records put in force.
        pub accepted: u64,
        /// Records refused, and conflicts found by digest.
        pub refused: u64,
    }
}

/// `GossipState` holds the policy distribution and the membership of one node.
pub struct GossipState {
    /// Records of which a peer holds a newer version.
    pub distribution: RefCell<PolicyDistribution>,
    /// Schedule of digest rounds.
    pub schedule: RefCell<DigestSchedule>,
    /// Members known from lists and from their own digests.
    pub members: RefCell<MemberTable>,
    /// Decides when the node may start to serve.
    pub readiness: RefCell<ReadinessControl>,
    /// Counts since the start of the node.
    pub counters: RefCell<DistributionCounters>,
    own_record: RefCell<Option<InstanceRecord>>,
}

impl GossipState {
    /// Creates a state without members; the node counts as ready until [`Self::begin_startup`].
    #[must_use]
    pub fn new(settings: &NodeSettings) -> Self {
        let now = Instant::now();
        let origin = RoutingOrigin {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let service = settings.service.clone();
        let mut distribution = PolicyDistribution::default();
        distribution.set_wanted([service.clone()].into());
        Self {
            distribution: RefCell::new(distribution),
            schedule: RefCell::new(DigestSchedule::new(origin, service.clone(), now)),
            members: RefCell::default(),
            readiness: RefCell::new(ReadinessControl::ready(service, now)),
            counters: RefCell::default(),
            own_record: RefCell::default(),
        }
    }

    /// Makes the node refuse requests until it holds the newest policies it can reach.
    pub fn begin_startup(&self, settings: &NodeSettings) {
        let service = settings.service.clone();
        *self.readiness.borrow_mut() = ReadinessControl::starting(service, Instant::now());
        self.schedule.borrow_mut().record_change();
    }

    /// Sets the address of the peer listener, which digests announce to other nodes.
    pub fn set_own_address(&self, settings: &NodeSettings, peer: SocketAddr) {
        *self.own_record.borrow_mut() = Some(InstanceRecord {
            name: settings.instance.clone(),
            service: settings.service.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            peer,
            state: InstanceState::Live,
        });
    }

    /// Record of this node as digests announce it; `None` before the peer listener is open.
    #[must_use]
    pub fn own_record(&self) -> Option<InstanceRecord> {
        self.own_record.borrow().clone()
    }

    /// Versions of the records and lists that the node holds.
    #[must_use]
    pub fn digest(&self, policies: &PolicySet) -> PolicyDigest {
        PolicyDigest::new(policies, self.members.borrow().list_versions())
    }

    /// Returns whether the node may serve, evaluating it again while the node is starting.
    pub fn evaluate_readiness(
        &self,
        policies: &PolicySet,
        table: &InstanceTable,
    ) -> ReadinessState {
        let state = self.readiness.borrow().state();
        if state == ReadinessState::Ready {
            return state;
        }
        let own = self.own_record.borrow();
        let own = own.as_ref().map(|record| record.name.as_str());
        let others = table
            .iter()
            .filter(|(_, record)| Some(record.name.as_str()) != own);
        let fleet = KnownFleet {
            peers: others.count(),
            callees_known: self.has_all_callees(policies, table),
        };
        let mut readiness = self.readiness.borrow_mut();
        readiness.evaluate(Instant::now(), policies, fleet)
    }

    fn has_all_callees(&self, policies: &PolicySet, table: &InstanceTable) -> bool {
        let own = self.own_record.borrow();
        let entry = own
            .as_ref()
            .and_then(|record| policies.get(&record.service));
        entry.is_some_and(|entry| {
            entry.policy.calls.iter().all(|service| {
                policies.get(service).is_some() && table.of_service(service).next().is_some()
            })
        })
    }
}
