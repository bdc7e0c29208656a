//! Which nodes count the requests of an account, by the directory of this node.

use crate::{directory::FleetDirectory, events};

use lagoonshore_coordination::quota::{
    counter_choice::CounterChoice,
    quota_rules::{QuotaPart, QuotaRules},
};
use lagoonshore_protocol::relay_messages::{TokenAsk, TokenPurpose};
use lagoonshore_settings::{RelaySettings, relay_settings::QuotaSettings};
use lagoonshore_state::{
    account::AccountQuota,
    ids::{AccountName, ZoneName},
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};
use tokio::time::Instant;
use tracing::warn;

/// `FleetCounters` finds the counters of accounts.
#[derive(Debug)]
pub struct FleetCounters {
    zone: ZoneName,
    rules: QuotaRules,
    own_address: Cell<SocketAddr>,
    directory: Rc<FleetDirectory>,
    choice: RefCell<CounterChoice>,
    /// Number of zones without a part that was logged last.
    zones_left_out: Cell<usize>,
}

/// `CounterDuty` says that this node counts the requests of an account.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CounterDuty {
    /// Time from which it may count.
    pub(crate) since: Instant,
    /// Part of the quota of its zone.
    pub(crate) part: QuotaPart,
}

impl FleetCounters {
    /// Creates the view of a node that knows no others.
    #[must_use]
    pub fn new(settings: &RelaySettings, directory: Rc<FleetDirectory>) -> Self {
        let rules = quota_rules(settings);
        Self {
            zone: settings.zone.clone(),
            rules,
            own_address: Cell::new(settings.listen.peers),
            directory,
            choice: RefCell::new(CounterChoice::new(rules.succession())),
            zones_left_out: Cell::new(0),
        }
    }

    /// Sets the address on which the node itself listens for peers.
    pub fn set_own_address(&self, address: SocketAddr) {
        self.own_address.set(address);
    }

    /// Address at which other nodes find this one: that of its upstream in the list if the node listens on
    /// all addresses.
    #[must_use]
    pub fn own_address(&self) -> SocketAddr {
        let bound = self.own_address.get();
        if !bound.ip().is_unspecified() {
            return bound;
        }
        self.directory.own_peer_address().unwrap_or(bound)
    }

    /// Bounds of quotas.
    #[must_use]
    pub const fn rules(&self) -> &QuotaRules {
        &self.rules
    }

    /// Applies a change of the directory. Does nothing for a fleet without accounts.
    pub fn apply_directory_change(&self) {
        if !self.directory.is_complete() || !self.directory.routes().has_accounts() {
            return;
        }
        let listed = {
            let table = self.directory.instances();
            let places = table
                .iter()
                .map(|(_, record)| (record.zone.clone(), record.peer));
            places.collect()
        };
        let now = Instant::now();
        let mut choice = self.choice.borrow_mut();
        choice.apply_list(now, &listed);
        let left_out = choice.zones_without_part(now);
        if self.zones_left_out.replace(left_out) != left_out {
            log_zones_left_out(left_out, self.rules.succession().zones_max);
        }
    }

    /// Returns the counters that may be asked for tokens of `account`: that of the own zone first, then
    /// those of the others.
    #[must_use]
    pub fn candidates(&self, now: Instant, account: &str) -> Vec<SocketAddr> {
        let mut choice = self.choice.borrow_mut();
        let own = choice.counter(now, account, &self.zone);
        let others = choice.other_counters(now, account, &self.zone);
        own.into_iter().chain(others).collect()
    }

    /// Returns the counters of `account` in the other zones.
    #[must_use]
    pub fn lenders(&self, now: Instant, account: &str) -> Vec<SocketAddr> {
        let mut choice = self.choice.borrow_mut();
        choice.other_counters(now, account, &self.zone)
    }

    /// Returns since when this node counts the requests of `account`; `None` if it does not, or if the
    /// account has no quota, or if its list may be so old that another node counts in its place.
    pub(crate) fn duty(&self, now: Instant, account: &str) -> Option<CounterDuty> {
        let quota = self.quota(account)?;
        if !self.directory.proofs().is_list_proven() {
            return None;
        }
        let mut choice = self.choice.borrow_mut();
        let own = self.own_address();
        let since = choice.counting_since(now, account, &self.zone, own)?;
        let zones = choice.divided_zones(now);
        let part = self.rules.zone_part(quota, zones);
        (since <= now).then_some(CounterDuty { since, part })
    }

    /// Records the number of zones among which another node divides quotas.
    pub(crate) fn record_zones(&self, zones: u32) {
        let mut choice = self.choice.borrow_mut();
        choice.record_zones_heard(Instant::now(), zones);
    }

    /// Returns whether this node is the counter of `account`, also if it may not count yet.
    pub(crate) fn is_counter(&self, now: Instant, account: &str) -> bool {
        let mut choice = self.choice.borrow_mut();
        choice.counter(now, account, &self.zone) == Some(self.own_address())
    }

    /// Returns the node to ask before this one counts for `account`, since it has just started; `None` if
    /// it need not ask.
    pub(crate) fn stand_in(&self, now: Instant, account: &str) -> Option<SocketAddr> {
        let mut choice = self.choice.borrow_mut();
        choice.stand_in(now, account, &self.zone, self.own_address())
    }

    /// Records that no other node counts for `account` in place of this one.
    pub(crate) fn confirm(&self, account: &str) {
        let mut choice = self.choice.borrow_mut();
        choice.confirm(Instant::now(), account);
    }

    /// Records that another node may count for `account` in place of this one.
    pub(crate) fn defer(&self, account: &str) {
        let mut choice = self.choice.borrow_mut();
        choice.defer(account);
    }

    /// Creates an ask for `wanted` tokens of `account`.
    pub(crate) fn token_ask(
        &self,
        account: &AccountName,
        wanted: f64,
        purpose: TokenPurpose,
    ) -> TokenAsk {
        TokenAsk {
            account: account.clone(),
            wanted,
            purpose,
            asker: self.own_address(),
            version: self.directory.version(),
            zones: self.zone_count(Instant::now()),
        }
    }

    /// Documents and upstreams that this node knows.
    pub(crate) const fn directory(&self) -> &Rc<FleetDirectory> {
        &self.directory
    }

    /// Returns the counter of `account` in each zone that has one.
    pub(crate) fn zone_counters(&self, now: Instant, account: &str) -> Vec<(ZoneName, SocketAddr)> {
        self.choice.borrow_mut().zone_counters(now, account)
    }

    /// Part of `quota` that each zone holds.
    pub(crate) fn zone_part(&self, now: Instant, quota: AccountQuota) -> QuotaPart {
        self.rules.zone_part(quota, self.zone_count(now))
    }

    /// Quota of `account`; `None` if it has none.
    #[must_use]
    pub fn quota(&self, account: &str) -> Option<AccountQuota> {
        self.directory.routes().account(account)?.quota
    }

    /// Number of listed nodes, at least one.
    #[must_use]
    pub fn node_count(&self) -> u32 {
        let count = self.choice.borrow().node_count().max(1);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Number of zones among which quotas are divided.
    #[must_use]
    pub fn zone_count(&self, now: Instant) -> u32 {
        self.choice.borrow().zone_count(now)
    }
}

fn quota_rules(settings: &RelaySettings) -> QuotaRules {
    let QuotaSettings {
        window,
        overage,
        slack,
    } = settings.quotas;
    QuotaRules {
        window,
        overage,
        slack,
        proof_life: settings.store.revocation_time,
        view_time: settings.store.view_time(),
    }
}

/// Logs how many zones hold no part of quotas, since more than `zones_max` are listed.
fn log_zones_left_out(left_out: usize, zones_max: usize) {
    warn!(
        event = events::ZONES_WITHOUT_QUOTAS,
        left_out, zones_max, "quota: zones without a part"
    );
}
