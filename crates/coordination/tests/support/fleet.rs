//! Fake fleet: the distribution logic of many nodes under one simulated clock, with immediate
//! message delivery, a fake platform that counts its reads, and injected failures of both.

// Each test file and example uses only part of the fake.
#![allow(dead_code, unreachable_pub)]

#[path = "fleet_digests.rs"]
mod digests;
#[path = "fleet_reads.rs"]
mod reads;

use lagoonshore_coordination::{
    gossip::{
        digest_schedule::DigestSchedule, membership::MemberTable, platform_watchers,
        policy_digest::PolicyDigest, policy_distribution::PolicyDistribution,
    },
    lifecycle::readiness::{KnownFleet, ReadinessControl, ReadinessState},
    routing::RoutingOrigin,
};
use lagoonshore_state::{
    ids::{PolicyRevision, ServiceName, ZoneName},
    instance_table::{InstanceRecord, InstanceState, InstanceTable},
    policy::{RetryPolicy, ServicePolicy},
    policy_set::{self, OfferOutcome, PolicySet, PolicySource},
    units::{SlotCount, TokenCount},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Step of the simulated clock.
pub const TICK: Duration = Duration::from_millis(50);

/// `FakeRecord` is a published record: its revision, and a text in place of the other fields.
#[derive(Clone, Debug, PartialEq)]
pub struct FakeRecord {
    pub revision: PolicyRevision,
    pub text: String,
}

#[derive(Clone, Default)]
pub struct FakePlatform {
    pub up: bool,
    pub index: u64,
    pub records: BTreeMap<ServiceName, (u64, FakeRecord)>,
    pub lists: BTreeMap<ServiceName, (u64, Vec<InstanceRecord>)>,
    /// An older copy of the platform's state, served in place of the current one while `is_stale`.
    pub older: Option<Box<FakePlatform>>,
    pub is_stale: bool,
    pub partitioned_zones: BTreeSet<ZoneName>,
    pub only_reader: Option<String>,
    pub reads: u64,
}

/// `FakeWatch` is the state of a node's reads of one record or list at the platform.
struct FakeWatch {
    service: ServiceName,
    is_list: bool,
    due: Instant,
    waiting: Option<Instant>,
    index: u64,
}

pub struct FakeNode {
    pub record: InstanceRecord,
    pub up: bool,
    pub paused: bool,
    pub policies: PolicySet,
    pub readiness: ReadinessControl,
    pub table: InstanceTable,
    pub members: MemberTable,
    pub errors: BTreeMap<ServiceName, String>,
    pub bytes: u64,
    reads_platform: bool,
    distribution: PolicyDistribution,
    schedule: DigestSchedule,
    watches: Vec<FakeWatch>,
}

pub struct FakeFleet {
    pub now: Instant,
    pub nodes: Vec<FakeNode>,
    pub platform: FakePlatform,
    pub calls: BTreeMap<ServiceName, Vec<ServiceName>>,
    pub partitions: BTreeSet<(ZoneName, ZoneName)>,
    pub random: SmallRng,
    pub is_watched_by_all: bool,
}

impl FakeNode {
    fn new(record: InstanceRecord, now: Instant, random: &mut SmallRng) -> Self {
        let origin = RoutingOrigin {
            instance: record.name.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
        };
        let service = record.service.clone();
        let mut schedule = DigestSchedule::new(origin, service.clone(), now);
        schedule.record_change();
        let mut distribution = PolicyDistribution::default();
        distribution.set_wanted([service.clone()].into());
        let mut node = Self {
            readiness: ReadinessControl::starting(service.clone(), now),
            record,
            up: true,
            paused: false,
            policies: PolicySet::default(),
            table: InstanceTable::default(),
            members: MemberTable::default(),
            errors: BTreeMap::new(),
            bytes: 0,
            reads_platform: true,
            distribution,
            schedule,
            watches: Vec::new(),
        };
        node.watch(&service, now, random);
        node
    }

    fn watch(&mut self, service: &ServiceName, now: Instant, random: &mut SmallRng) {
        if self.watches.iter().any(|watch| watch.service == *service) {
            return;
        }
        let is_own = *service == self.record.service;
        let due = now + platform_watchers::initial_read_delay(is_own, random);
        for is_list in [true, false] {
            self.watches.push(FakeWatch {
                service: service.clone(),
                is_list,
                due,
                waiting: None,
                index: 0,
            });
        }
    }

    pub fn is_running(&self) -> bool {
        self.up && !self.paused
    }

    pub fn is_ready(&self) -> bool {
        self.readiness.state() == ReadinessState::Ready
    }

    pub fn revision(&self, service: &str) -> PolicyRevision {
        self.policies.revision(service).unwrap_or(0)
    }

    pub fn offer(
        &mut self,
        now: Instant,
        service: &ServiceName,
        record: &FakeRecord,
        calls: &[ServiceName],
        source: PolicySource,
        random: &mut SmallRng,
    ) {
        let bytes = format!("{} {}", record.revision, record.text);
        let policy = policy(service, record.revision, calls);
        match self.policies.offer(policy, bytes.as_bytes(), source) {
            Ok(OfferOutcome::InForce) => {
                self.errors.remove(service);
                self.distribution.mark_in_force(service);
                self.schedule.record_change();
                if *service == self.record.service {
                    let wanted = calls.iter().chain([service]).cloned();
                    self.distribution.set_wanted(wanted.collect());
                    for called in calls {
                        self.watch(called, now, random);
                    }
                }
            }
            Ok(OfferOutcome::Unchanged) => self.distribution.mark_in_force(service),
            Err(error) => {
                if source == PolicySource::Peer {
                    let content = policy_set::content_hash(bytes.as_bytes());
                    self.distribution.mark_refused(service, content);
                }
                self.errors.insert(service.clone(), error.to_string());
            }
        }
    }

    fn digest(&self) -> PolicyDigest {
        PolicyDigest::new(&self.policies, self.members.list_versions())
    }

    fn is_watcher(&self, service: &ServiceName) -> bool {
        let (own, zone) = (&self.record.name, &self.record.zone);
        *service == self.record.service
            && platform_watchers::is_watcher(service, own, zone, &self.table, &self.members)
    }
}

impl FakeFleet {
    pub fn new(seed: u64) -> Self {
        let platform = FakePlatform {
            up: true,
            ..FakePlatform::default()
        };
        Self {
            now: Instant::now(),
            nodes: Vec::new(),
            platform,
            calls: BTreeMap::new(),
            partitions: BTreeSet::new(),
            random: SmallRng::seed_from_u64(seed),
            is_watched_by_all: false,
        }
    }

    /// Adds a node and lists its instance at the platform.
    pub fn add(&mut self, service: &str, zone: &str, number: usize) {
        let port =
            u16::try_from(self.nodes.len() + 1).expect("the number of nodes must fit into a port");
        let record = InstanceRecord {
            name: format!("{service}-{zone}-{number}").into(),
            service: service.into(),
            zone: zone.into(),
            region: "marmara".into(),
            peer: SocketAddr::from(([127, 0, 0, 1], port)),
            state: InstanceState::Live,
        };
        self.platform.index += 1;
        let list = self
            .platform
            .lists
            .entry(record.service.clone())
            .or_default();
        list.0 = self.platform.index;
        list.1.push(record.clone());
        self.nodes
            .push(FakeNode::new(record, self.now, &mut self.random));
    }

    pub fn publish(&mut self, service: &str, revision: PolicyRevision, text: &str) {
        self.platform.index += 1;
        let record = FakeRecord {
            revision,
            text: text.to_owned(),
        };
        let stored = (self.platform.index, record);
        self.platform.records.insert(service.into(), stored);
    }

    /// Restarts a node with empty state.
    pub fn restart(&mut self, node: usize) {
        let record = self.nodes[node].record.clone();
        self.nodes[node] = FakeNode::new(record, self.now, &mut self.random);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until `holds` returns `true`, for at most `bound`; returns the time taken, or `None` if
    /// the condition was not met.
    pub fn run_until(
        &mut self,
        bound: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !holds(self) {
            if self.now >= start + bound {
                return None;
            }
            self.tick();
        }
        Some(self.now - start)
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        for node in 0..self.nodes.len() {
            if !self.nodes[node].is_running() {
                continue;
            }
            self.read_platform(node);
            self.exchange_digests(node);
            let FakeNode {
                members,
                table,
                readiness,
                policies,
                ..
            } = &mut self.nodes[node];
            members.remove_expired(self.now, table);
            let peers = table.iter().count().saturating_sub(1);
            let fleet = KnownFleet {
                peers,
                callees_known: true,
            };
            readiness.evaluate(self.now, policies, fleet);
        }
    }

    pub fn can_reach(&self, from: usize, to: usize) -> bool {
        let (left, right) = (&self.nodes[from], &self.nodes[to]);
        let zones = (left.record.zone.clone(), right.record.zone.clone());
        let back = (zones.1.clone(), zones.0.clone());
        left.is_running()
            && right.is_running()
            && !self.partitions.contains(&zones)
            && !self.partitions.contains(&back)
    }

    /// Returns the index of a random node.
    pub fn draw(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }
}

fn policy(service: &ServiceName, revision: PolicyRevision, calls: &[ServiceName]) -> ServicePolicy {
    ServicePolicy {
        service: service.clone(),
        revision,
        slots: SlotCount(1),
        connections: 1,
        calls: calls.to_vec(),
        retries: RetryPolicy {
            per_request: TokenCount(0),
            ratio: 0.0,
        },
        lanes: Vec::new(),
        classes: Vec::new(),
    }
}
