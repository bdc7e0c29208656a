//! The counters of the accounts that were asked for since the members of a zone changed.

use lagoonshore_state::ids::{AccountName, ZoneName};

use std::{collections::HashMap, net::SocketAddr, rc::Rc};
use tokio::time::Instant;

/// Accounts that are remembered before all are forgotten.
const ACCOUNTS_MAX: usize = 4096;

/// `ZoneCounter` is the counter of an account in one zone.
#[derive(Clone, Debug)]
pub struct ZoneCounter {
    /// Availability zone.
    pub zone: ZoneName,
    /// Address on which the node listens for peers.
    pub address: SocketAddr,
    /// Time from which it may count.
    pub since: Instant,
    /// Node that would count without it; `None` if the zone has no other.
    pub next: Option<SocketAddr>,
}

/// `CounterCache` remembers the counters of accounts, so that a node weighs all others once for each
/// account and change of the list.
#[derive(Debug, Default)]
pub struct CounterCache {
    accounts: HashMap<AccountName, Rc<[ZoneCounter]>>,
    /// Time at which the counters change without a change of the list.
    valid_until: Option<Instant>,
}

impl CounterCache {
    /// Forgets all accounts. What is inserted next is valid until `valid_until`.
    pub fn reset(&mut self, valid_until: Option<Instant>) {
        self.accounts.clear();
        self.valid_until = valid_until;
    }

    /// Returns whether the counters may have changed.
    #[must_use]
    pub fn is_outdated(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now >= until)
    }

    /// Returns the counters of `account`, if they are known.
    #[must_use]
    pub fn get(&self, account: &str) -> Option<Rc<[ZoneCounter]>> {
        self.accounts.get(account).map(Rc::clone)
    }

    /// Remembers the counters of `account`.
    pub fn insert(&mut self, account: &str, counters: Rc<[ZoneCounter]>) {
        if self.accounts.len() >= ACCOUNTS_MAX {
            self.accounts.clear();
        }
        self.accounts.insert(account.into(), counters);
    }
}
