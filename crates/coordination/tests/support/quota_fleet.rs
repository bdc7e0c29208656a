//! A small model of nodes that keep the quota of one account, with links that lose, delay and double
//! messages, and clocks that differ in rate.

use lagoonshore_coordination::quota::{
    account_counter::{AccountCounter, lender_deadline},
    counter_choice::CounterChoice,
    quota_rules::QuotaRules,
    quota_timeouts::{ASK_TIMEOUT, LOAN_TIMEOUT, WAIT_MAX},
    silent_counters::SilentCounters,
    token_hand::TokenHand,
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

#[derive(Clone, Copy, Debug)]
enum Message {
    Ask {
        ask: u64,
        wanted: f64,
    },
    NotCounter {
        ask: u64,
    },
    Grant {
        ask: u64,
        tokens: f64,
        short_for: Duration,
    },
    LoanAsk {
        loan: u64,
        wanted: f64,
    },
    Loan {
        loan: u64,
        tokens: f64,
    },
}

struct Envelope {
    from: usize,
    to: usize,
    message: Message,
}

/// An ask of a node: the counters still to be asked, the last of which has been asked.
struct OpenAsk {
    id: u64,
    others: Vec<usize>,
    asked: usize,
    sent_at: Instant,
}

/// A node that waits for tokens of the counter, with what it got so far.
struct PendingGrant {
    node: usize,
    ask: u64,
    granted: f64,
    missing: f64,
}

struct OpenLoan {
    id: u64,
    others: Vec<usize>,
    asked: f64,
    got: f64,
    ends_at: Instant,
    /// Time by which the lender that was asked last has to answer.
    lender_until: Instant,
}

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

    /// Has a request arrive at a node.
    pub(crate) fn arrive(&mut self, index: usize) {
        self.asked += 1;
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let is_proven = node
            .cut_since
            .is_none_or(|since| self.now < since + PROOF_LIFE);
        if node.is_down || !is_proven {
            return;
        }
        node.hand.record_request(now);
        if node.hand.take(now).is_some() {
            self.admitted.push(self.now);
            if node.ask.is_none() && node.hand.is_low(now, &RULES) {
                self.start_ask(index);
            }
            return;
        }
        if !node.hand.can_ask(now) {
            self.refuse(index);
            return;
        }
        node.waiting.push(now + WAIT_MAX);
        if node.ask.is_none() {
            self.start_ask(index);
        }
    }

    /// Tells a caller when to return.
    fn refuse(&mut self, index: usize) {
        let now = self.local(index);
        let nodes = u32::try_from(self.nodes.len()).expect("few nodes");
        let node = &mut self.nodes[index];
        let wait = node.hand.retry_after(now, node.quota.rate, nodes);
        self.returns.push(self.now + wait);
    }

    fn start_ask(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let zone = zone_name(node.zone);
        let own = node.choice.counter(now, ACCOUNT, &zone);
        let others = node.choice.other_counters(now, ACCOUNT, &zone);
        let targets = own.into_iter().chain(others).collect();
        let targets = node.silent.select(now, targets).into_iter();
        let mut targets: Vec<usize> = targets.map(index_of).collect();
        targets.reverse();
        self.serial += 1;
        self.nodes[index].ask = Some(OpenAsk {
            id: self.serial,
            others: targets,
            asked: index,
            sent_at: now,
        });
        self.ask_next(index);
    }

    fn ask_next(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let Some(ask) = node.ask.as_mut() else { return };
        let Some(target) = ask.others.pop() else {
            node.ask = None;
            node.waiting.clear();
            return;
        };
        ask.asked = target;
        ask.sent_at = now;
        let waiting = u32::try_from(node.waiting.len()).expect("few wait");
        let wanted = node.hand.wanted(now, waiting, &RULES);
        let message = Message::Ask {
            ask: ask.id,
            wanted,
        };
        self.send(index, target, message);
    }

    /// Records whether the counter that `index` asked has answered.
    fn record_answer(&mut self, index: usize, counter: usize, is_answered: bool) {
        let now = self.local(index);
        let counter = self.nodes[counter].address;
        let silent = &mut self.nodes[index].silent;
        if is_answered {
            silent.record_answer(counter);
        } else {
            silent.record_silence(now, counter);
        }
    }

    fn expire(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        node.waiting.retain(|until| now < *until);
        if let Some(ask) = &node.ask
            && now >= ask.sent_at + ASK_TIMEOUT
        {
            let asked = ask.asked;
            self.record_answer(index, asked, false);
            self.ask_next(index);
        }
        let node = &self.nodes[index];
        let is_silent = |loan: &OpenLoan| now >= loan.lender_until;
        if node.loan.as_ref().is_some_and(is_silent) {
            self.ask_for_loan(index);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from == to {
            let envelope = Envelope { from, to, message };
            self.post(self.now, envelope);
            return;
        }
        self.messages += 1;
        if self.random.random_bool(self.faults.lost) {
            return;
        }
        let copies = 1 + u32::from(self.random.random_bool(self.faults.doubled));
        for _ in 0..copies {
            let is_same_zone = self.nodes[from].zone == self.nodes[to].zone;
            let mut delay = if is_same_zone { 0.3 } else { 0.8 };
            if self.random.random_bool(self.faults.late) {
                delay += self.random.random_range(0.0..300.0);
            }
            let at = self.now + Duration::from_secs_f64(delay / 1000.0);
            self.post(at, Envelope { from, to, message });
        }
    }

    fn post(&mut self, at: Instant, envelope: Envelope) {
        self.serial += 1;
        self.mail.insert((at, self.serial), envelope);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.views.first_entry()
            && entry.key().0 <= self.now
        {
            let (node, listed) = entry.remove();
            if !self.nodes[node].is_down && self.nodes[node].cut_since.is_none() {
                self.apply_view(node, &listed);
            }
        }
        while let Some(entry) = self.quotas.first_entry()
            && entry.key().0 <= self.now
        {
            let (node, quota) = entry.remove();
            self.nodes[node].quota = quota;
        }
        while let Some(entry) = self.mail.first_entry()
            && entry.key().0 <= self.now
        {
            let envelope = entry.remove();
            let Envelope { from, to, message } = envelope;
            let is_cut = self.groups[from] != self.groups[to];
            if is_cut || self.nodes[to].is_down {
                continue;
            }
            self.receive(from, to, message);
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = self.local(to);
        match message {
            Message::Ask { ask, wanted } => {
                self.hear_zones(to, from);
                self.receive_ask(from, to, ask, wanted);
            }
            Message::NotCounter { ask } => {
                let is_open = |open: &OpenAsk| open.id == ask && open.asked == from;
                if self.nodes[to].ask.as_ref().is_some_and(is_open) {
                    self.record_answer(to, from, true);
                    self.ask_next(to);
                }
            }
            Message::Grant {
                ask,
                tokens,
                short_for,
            } => self.receive_grant(from, to, ask, tokens, short_for),
            Message::LoanAsk { loan, wanted } => {
                self.hear_zones(to, from);
                self.check_stand_in(to);
                let tokens = if self.open_counter(to) {
                    let counter = self.nodes[to].counter.as_mut().expect("opened");
                    counter.lend(now, wanted, &RULES)
                } else {
                    0.0
                };
                self.send(to, from, Message::Loan { loan, tokens });
            }
            Message::Loan { loan, tokens } => {
                let Some(open) = self.nodes[to].loan.as_mut() else {
                    return;
                };
                if open.id != loan {
                    return;
                }
                open.got += tokens;
                self.ask_for_loan(to);
            }
        }
    }

    /// Has the node that asks tell the counter at `index` how many zones it knows of.
    fn hear_zones(&mut self, index: usize, asker: usize) {
        let zones = self.nodes[asker].choice.zone_count(self.local(asker));
        let now = self.local(index);
        let choice = &mut self.nodes[index].choice;
        choice.record_zones_heard(now, zones);
    }

    /// Has a node that has just started ask whether another one counts in its place.
    fn check_stand_in(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let zone = zone_name(node.zone);
        let stand_in = node.choice.stand_in(now, ACCOUNT, &zone, node.address);
        let Some(address) = stand_in else { return };
        let other = index_of(address);
        let is_reached = self.groups[other] == self.groups[index] && !self.nodes[other].is_down;
        let other_now = self.local(other);
        let choice = &mut self.nodes[other].choice;
        if is_reached && choice.counter(other_now, ACCOUNT, &zone) != Some(address) {
            self.nodes[index].choice.confirm(now, ACCOUNT);
        }
    }

    /// Opens the counter of a node; `false` if it may not count now.
    fn open_counter(&mut self, index: usize) -> bool {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let zone = zone_name(node.zone);
        let choice = &mut node.choice;
        let Some(since) = choice.counting_since(now, ACCOUNT, &zone, node.address) else {
            return false;
        };
        if since > now {
            return false;
        }
        let zones = choice.divided_zones(now);
        let part = RULES.zone_part(node.quota, zones);
        let known = node.counter.take();
        let mut counter = known.unwrap_or_else(|| AccountCounter::new(now, since, part));
        counter.renew(now, since);
        counter.set_part(now, part);
        node.counter = Some(counter);
        true
    }

    fn receive_ask(&mut self, from: usize, index: usize, ask: u64, wanted: f64) {
        self.check_stand_in(index);
        if !self.open_counter(index) {
            self.send(index, from, Message::NotCounter { ask });
            return;
        }
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let counter = node.counter.as_mut().expect("opened");
        let granted = counter.take(now, wanted);
        node.pending.push(PendingGrant {
            node: from,
            ask,
            granted,
            missing: wanted - granted,
        });
        let missing = wanted - granted;
        if missing > 0.0 && node.loan.is_some() {
            return;
        }
        let amount = (missing > 0.0)
            .then(|| counter.start_loan(now, missing, &RULES))
            .flatten();
        let Some(amount) = amount else {
            let pending = self.nodes[index].pending.pop().expect("just added");
            self.answer(index, &pending);
            return;
        };
        let zone = zone_name(node.zone);
        let others = node.choice.other_counters(now, ACCOUNT, &zone);
        let others = others.into_iter();
        self.serial += 1;
        node.loan = Some(OpenLoan {
            id: self.serial,
            others: others.rev().map(index_of).collect(),
            asked: amount,
            got: 0.0,
            ends_at: now + LOAN_TIMEOUT,
            lender_until: now,
        });
        self.ask_for_loan(index);
    }

    fn ask_for_loan(&mut self, index: usize) {
        self.serial += 1;
        let serial = self.serial;
        let now = self.local(index);
        let Some(loan) = self.nodes[index].loan.as_mut() else {
            return;
        };
        let wanted = loan.asked - loan.got;
        loan.lender_until = lender_deadline(now, loan.ends_at, loan.others.len());
        if wanted > 1e-9
            && let Some(lender) = loan.others.pop()
        {
            loan.id = serial;
            let message = Message::LoanAsk {
                loan: serial,
                wanted,
            };
            self.send(index, lender, message);
            return;
        }
        self.finish_loan(index);
    }

    fn finish_loan(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let Some(loan) = node.loan.take() else { return };
        let Some(counter) = node.counter.as_mut() else {
            return;
        };
        counter.finish_loan(now, loan.asked - 1e-9, loan.got);
        let mut pending = std::mem::take(&mut node.pending);
        for grant in &mut pending {
            let more = counter.take_again(now, grant.missing);
            grant.granted += more;
            grant.missing -= more;
        }
        for grant in &pending {
            self.answer(index, grant);
        }
    }

    fn answer(&mut self, index: usize, grant: &PendingGrant) {
        let now = self.local(index);
        let counter = self.nodes[index].counter.as_mut().expect("opened");
        let short_for = if grant.missing > 0.0 {
            counter.next_turn(now, grant.missing)
        } else {
            Duration::ZERO
        };
        let message = Message::Grant {
            ask: grant.ask,
            tokens: grant.granted,
            short_for,
        };
        self.send(index, grant.node, message);
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn receive_grant(
        &mut self,
        from: usize,
        index: usize,
        ask: u64,
        tokens: f64,
        short_for: Duration,
    ) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let is_open = |open: &&OpenAsk| open.id == ask && open.asked == from;
        let Some(open) = node.ask.as_ref().filter(is_open) else {
            return;
        };
        let sent_at = open.sent_at;
        self.record_answer(index, from, true);
        let node = &mut self.nodes[index];
        node.ask = None;
        let hand = &mut node.hand;
        hand.add(now, sent_at, tokens as u32, short_for, &RULES);
        while !node.waiting.is_empty() && hand.take(now).is_some() {
            node.waiting.remove(0);
            self.admitted.push(self.now);
        }
        if !hand.can_ask(now) {
            let refused = std::mem::take(&mut node.waiting);
            for _ in refused {
                self.refuse(index);
            }
        } else if !node.waiting.is_empty() {
            self.start_ask(index);
        }
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
