//! A small model of nodes that keep the quota of one account, with links that lose, delay and double
//! messages, and clocks that differ in rate.

mod asks;
mod counting;
mod links;

use self::{
    asks::OpenAsk,
    counting::{OpenLoan, PendingGrant},
    links::Envelope,
};

use lagoonshore_coordination::quota::{
    account_counter::AccountCounter, counter_choice::CounterChoice, quota_rules::QuotaRules,
    silent_counters::SilentCounters, token_hand::TokenHand,
};
use lagoonshore_state::{account::AccountQuota, ids::ZoneName};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Name of the account.
const ACCOUNT: &str = "account";
/// One step of the model.
pub(crate) const STEP: Duration = Duration::from_millis(1);
/// Time in which each node learns of a change.
pub(crate) const VIEW_LAG: Duration = Duration::from_millis(2500);
/// Time after which a node that is cut off admits nothing more, since its keys may be revoked.
const PROOF_LIFE: Duration = Duration::from_secs(5);

pub(crate) const RULES: QuotaRules = QuotaRules {
    window: Duration::from_secs(5),
    overage: 0.25,
    slack: 20.0,
    proof_life: Some(PROOF_LIFE),
    view_time: VIEW_LAG,
};

struct ModelNode {
    zone: usize,
    address: SocketAddr,
    clock_rate: f64,
    quota: AccountQuota,
    choice: CounterChoice,
    hand: TokenHand,
    counter: Option<AccountCounter>,
    waiting: Vec<Instant>,
    ask: Option<OpenAsk>,
    loan: Option<OpenLoan>,
    pending: Vec<PendingGrant>,
    silent: SilentCounters,
    is_down: bool,
    cut_since: Option<Instant>,
}

/// What happens to messages.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkFaults {
    /// Share of messages that are lost.
    pub(crate) lost: f64,
    /// Share of messages that arrive twice.
    pub(crate) doubled: f64,
    /// Share of messages that arrive late.
    pub(crate) late: f64,
}

pub(crate) struct QuotaFleet {
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) faults: LinkFaults,
    /// Times at which requests were admitted.
    pub(crate) admitted: Vec<Instant>,
    pub(crate) asked: u64,
    /// Times at which refused callers may return.
    pub(crate) returns: Vec<Instant>,
    pub(crate) messages: u64,
    /// Group of each node; messages between groups are lost.
    groups: Vec<usize>,
    nodes: Vec<ModelNode>,
    listed: BTreeSet<usize>,
    mail: BTreeMap<(Instant, u64), Envelope>,
    views: BTreeMap<(Instant, u64), (usize, BTreeSet<usize>)>,
    quotas: BTreeMap<(Instant, u64), (usize, AccountQuota)>,
    serial: u64,
    random: SmallRng,
}

impl QuotaFleet {
    pub(crate) fn new(
        seed: u64,
        nodes: usize,
        zones: usize,
        quota: AccountQuota,
        drift: f64,
    ) -> Self {
        let now = Instant::now();
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fleet = Self {
            now,
            start: now,
            faults: LinkFaults::default(),
            admitted: Vec::new(),
            asked: 0,
            returns: Vec::new(),
            messages: 0,
            groups: vec![0; nodes],
            nodes: Vec::new(),
            listed: (0..nodes).collect(),
            mail: BTreeMap::new(),
            views: BTreeMap::new(),
            quotas: BTreeMap::new(),
            serial: 0,
            random: SmallRng::seed_from_u64(random.random()),
        };
        for index in 0..nodes {
            let last = u8::try_from(index + 1).expect("at most 254 nodes");
            fleet.nodes.push(ModelNode {
                zone: index % zones,
                address: SocketAddr::from(([10, 0, 0, last], 700)),
                clock_rate: 1.0 + random.random_range(-1.0..=1.0) * drift,
                quota,
                choice: CounterChoice::new(RULES.succession()),
                hand: TokenHand::new(now, 0.0),
                counter: None,
                waiting: Vec::new(),
                ask: None,
                loan: None,
                pending: Vec::new(),
                silent: SilentCounters::default(),
                is_down: false,
                cut_since: None,
            });
        }
        for index in 0..nodes {
            fleet.apply_view(index, &fleet.listed.clone());
        }
        fleet
    }

    /// Most requests that may run in one window.
    pub(crate) fn bound(quota: AccountQuota) -> f64 {
        let window = RULES.window.as_secs_f64();
        (quota.rate * window + quota.burst) * (1.0 + RULES.overage) + RULES.slack
    }

    pub(crate) fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Zone of a node.
    pub(crate) fn zone_of(&self, node: usize) -> usize {
        self.nodes[node].zone
    }

    /// Puts each node in a group; nodes of other groups than the first are cut off from the store.
    pub(crate) fn cut(&mut self, group_of: impl Fn(usize, usize) -> usize) {
        for index in 0..self.nodes.len() {
            let group = group_of(index, self.nodes[index].zone);
            self.groups[index] = group;
            let node = &mut self.nodes[index];
            node.cut_since = (group > 0).then(|| node.cut_since.unwrap_or(self.now));
        }
    }

    /// Stops a node, and starts it again with nothing.
    pub(crate) fn set_down(&mut self, index: usize, is_down: bool) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        node.is_down = is_down;
        node.hand = TokenHand::new(now, 0.0);
        node.counter = None;
        node.waiting.clear();
        node.ask = None;
        node.loan = None;
        node.pending.clear();
        node.choice = CounterChoice::new(RULES.succession());
        self.apply_view(index, &self.listed.clone());
    }

    /// Lists a node or takes it off the list; each node learns of it within `lag`.
    pub(crate) fn set_listed(&mut self, index: usize, is_listed: bool, lag: Duration) {
        if is_listed {
            self.listed.insert(index);
        } else {
            self.listed.remove(&index);
        }
        for node in 0..self.nodes.len() {
            let at = self.now + lag.mul_f64(self.random.random_range(0.0..=1.0));
            self.serial += 1;
            let view = (node, self.listed.clone());
            self.views.insert((at, self.serial), view);
        }
    }

    /// Changes the quota; each node learns of it within `lag`.
    pub(crate) fn set_quota(&mut self, quota: AccountQuota, lag: Duration) {
        for node in 0..self.nodes.len() {
            let at = self.now + lag.mul_f64(self.random.random_range(0.0..=1.0));
            self.serial += 1;
            self.quotas.insert((at, self.serial), (node, quota));
        }
    }

    /// Runs one step in which `demand` requests a second arrive, each at one of `at`.
    pub(crate) fn step(&mut self, demand: f64, at: &[usize]) {
        self.now += STEP;
        self.deliver();
        let mut expected = demand * STEP.as_secs_f64();
        // The sum of many rare events is a Poisson process.
        while expected > 0.0 {
            if self.random.random_bool(expected.min(0.1)) {
                let node = at[self.random.random_range(0..at.len())];
                self.arrive(node);
            }
            expected -= 0.1;
        }
        for index in 0..self.nodes.len() {
            self.expire(index);
        }
    }

    pub(crate) fn run(&mut self, length: Duration, demand: f64, at: &[usize]) {
        let until = self.now + length;
        while self.now < until {
            self.step(demand, at);
        }
    }

    /// The windows that begin with a request: their starts and the requests admitted in each.
    pub(crate) fn windows(&self) -> impl Iterator<Item = (Instant, usize)> {
        let times = &self.admitted;
        times.iter().enumerate().map(|(index, start)| {
            let end = times.partition_point(|time| *time < *start + RULES.window);
            (*start, end - index)
        })
    }

    /// Requests admitted from `from` on.
    pub(crate) fn admitted_since(&self, from: Instant) -> usize {
        self.admitted.iter().filter(|time| **time >= from).count()
    }

    fn local(&self, index: usize) -> Instant {
        self.start + (self.now - self.start).mul_f64(self.nodes[index].clock_rate)
    }

    fn apply_view(&mut self, index: usize, listed: &BTreeSet<usize>) {
        let list = listed.iter().map(|other| {
            let other = &self.nodes[*other];
            (zone_name(other.zone), other.address)
        });
        let list = list.collect();
        let now = self.local(index);
        self.nodes[index].choice.apply_list(now, &list);
    }
}

fn zone_name(zone: usize) -> ZoneName {
    ["a", "b", "c", "d"][zone].into()
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!("only IPv4 addresses");
    };
    usize::from(address.ip().octets()[3]) - 1
}
