//! The counters that this node keeps for its availability zone, and their loans.

use super::{
    document_fetch::DocumentFetch, fleet_counters::FleetCounters, quota_log::QuotaLog,
    quota_view::CounterView,
};

use crate::{calling::peer_links::PeerLinks, relay_metrics};

use lagoonshore_coordination::quota::{
    account_counter::{AccountCounter, lender_deadline},
    quota_timeouts::LOAN_TIMEOUT,
};
use lagoonshore_protocol::relay_messages::{TokenAsk, TokenGrant, TokenPurpose};
use lagoonshore_state::{ids::AccountName, units::whole_millis};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};
use tokio::{sync::Notify, time::Instant};

/// Time in which the node that counted while this one was away has to answer.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(50);
/// Windows for which the counter of an account that lost its quota is kept, in case it gets it back.
const KEPT_WINDOWS: u32 = 2;
/// Tokens below which nothing is left to borrow.
const TOKENS_MIN: f64 = 1e-6;

/// `QuotaCounters` grants tokens of accounts to the nodes of the zone, and lends them to other zones.
pub struct QuotaCounters {
    fleet: Rc<FleetCounters>,
    links: Rc<PeerLinks>,
    log: Rc<QuotaLog>,
    fetch: DocumentFetch,
    entries: RefCell<HashMap<AccountName, CounterEntry>>,
}

struct CounterEntry {
    counter: AccountCounter,
    /// Present while a loan is asked for; notified at its end.
    loan: Option<Rc<Notify>>,
    /// Time at which the account lost its quota; `None` while it has one.
    ended_at: Option<Instant>,
}

impl QuotaCounters {
    /// Creates the counters of a node; each begins with the first ask for its account.
    #[must_use]
    pub fn new(fleet: Rc<FleetCounters>, links: Rc<PeerLinks>, log: Rc<QuotaLog>) -> Rc<Self> {
        Rc::new(Self {
            fetch: DocumentFetch::new(Rc::clone(fleet.directory()), Rc::clone(&links)),
            fleet,
            links,
            log,
            entries: RefCell::default(),
        })
    }

    /// Answers a node, or the counter of another zone.
    pub async fn serve(self: &Rc<Self>, ask: TokenAsk) -> TokenGrant {
        self.fleet.record_zones(ask.zones);
        self.fetch.record(&ask);
        let TokenAsk {
            account,
            wanted,
            purpose,
            ..
        } = ask;
        match purpose {
            TokenPurpose::Loan => {
                self.check_stand_in(&account).await;
                return self.lend(&account, wanted);
            }
            TokenPurpose::Takeover => return self.tell_counter(&account),
            TokenPurpose::Requests => {}
        }
        if self.fleet.quota(&account).is_none() {
            self.fetch.wait().await;
        }
        self.check_stand_in(&account).await;
        let taken = self.with_counter(&account, |counter, now| counter.take(now, wanted));
        let Some(mut tokens) = taken else {
            return TokenGrant::NotCounter;
        };
        if tokens < wanted {
            self.wait_for_loan(&account, wanted - tokens).await;
            let missing = wanted - tokens;
            let more = self.with_counter(&account, |counter, now| counter.take_again(now, missing));
            tokens += more.unwrap_or_default();
        }
        let missing = wanted - tokens;
        let short_for = if missing > 0.0 {
            self.with_counter(&account, |counter, now| counter.next_turn(now, missing))
        } else {
            None
        };
        relay_metrics::count_quota_tokens("granted", tokens);
        TokenGrant::Granted {
            tokens,
            short_ms: whole_millis(short_for.unwrap_or_default()),
        }
    }

    /// Forgets the counters of accounts that have had no quota for some time. Until then they are kept:
    /// a new counter may have a full bucket.
    pub fn apply_directory_change(&self) {
        let now = Instant::now();
        let kept_time = self.fleet.rules().window * KEPT_WINDOWS;
        let mut entries = self.entries.borrow_mut();
        entries.retain(|account, entry| {
            if self.fleet.quota(account).is_some() {
                entry.ended_at = None;
                return true;
            }
            let ended_at = entry.ended_at.get_or_insert(now);
            now < *ended_at + kept_time
        });
    }

    /// Returns the counters of those accounts for operators for which `is_shown` holds.
    pub(crate) fn views(&self, is_shown: impl Fn(&str) -> bool) -> Vec<CounterView> {
        let now = Instant::now();
        let mut entries = self.entries.borrow_mut();
        let counting = entries.iter_mut();
        let counting =
            counting.filter(|(account, entry)| entry.ended_at.is_none() && is_shown(account));
        let views = counting.map(|(account, entry)| {
            let (tokens, part) = entry.counter.stock(now);
            CounterView {
                account: account.clone(),
                tokens,
                capacity: part.capacity,
                rate: part.rate,
                demand: entry.counter.demand(now),
                totals: entry.counter.totals(),
                is_borrowing: entry.loan.is_some(),
            }
        });
        views.collect()
    }

    fn lend(&self, account: &AccountName, wanted: f64) -> TokenGrant {
        let rules = self.fleet.rules();
        let lent = self.with_counter(account, |counter, now| counter.lend(now, wanted, rules));
        let Some(tokens) = lent else {
            return TokenGrant::NotCounter;
        };
        relay_metrics::count_quota_tokens("lent", tokens);
        TokenGrant::Granted {
            tokens,
            short_ms: 0,
        }
    }

    /// Tells a node that has just started whether this one counts in its place.
    fn tell_counter(&self, account: &AccountName) -> TokenGrant {
        if !self.fleet.is_counter(Instant::now(), account) {
            return TokenGrant::NotCounter;
        }
        TokenGrant::Granted {
            tokens: 0.0,
            short_ms: 0,
        }
    }

    /// Asks the node that may have counted while this one was away, so that both don't count.
    async fn check_stand_in(&self, account: &AccountName) {
        let now = Instant::now();
        let Some(stand_in) = self.fleet.stand_in(now, account) else {
            return;
        };
        let ask = self.fleet.token_ask(account, 0.0, TokenPurpose::Takeover);
        let deadline = now + TAKEOVER_TIMEOUT;
        let answer = self.links.take_tokens(stand_in, ask, deadline).await;
        if matches!(answer, Ok(TokenGrant::NotCounter)) {
            self.fleet.confirm(account);
        } else {
            self.fleet.defer(account);
        }
    }

    /// Calls `decide` with the counter of `account`; `None` if this node is not its counter now.
    fn with_counter<Output>(
        &self,
        account: &AccountName,
        decide: impl FnOnce(&mut AccountCounter, Instant) -> Output,
    ) -> Option<Output> {
        let now = Instant::now();
        let duty = self.fleet.duty(now, account)?;
        let mut entries = self.entries.borrow_mut();
        let entry = entries
            .entry(account.clone())
            .or_insert_with(|| CounterEntry {
                counter: AccountCounter::new(now, duty.since, duty.part),
                loan: None,
                ended_at: None,
            });
        entry.counter.renew(now, duty.since);
        entry.counter.set_part(now, duty.part);
        Some(decide(&mut entry.counter, now))
    }

    /// Waits for a loan for a node that still wants `missing` tokens, if one is allowed now.
    async fn wait_for_loan(self: &Rc<Self>, account: &AccountName, missing: f64) {
        let Some(loan) = self.current_loan(account, missing) else {
            return;
        };
        let ended = loan.notified();
        // The loan ends by itself; the timeout guards against a lost notification.
        let _ = tokio::time::timeout(LOAN_TIMEOUT, ended).await;
    }

    /// Returns the loan that is asked for, or starts one.
    fn current_loan(self: &Rc<Self>, account: &AccountName, missing: f64) -> Option<Rc<Notify>> {
        if let Some(entry) = self.entries.borrow().get(account)
            && let Some(loan) = &entry.loan
        {
            return Some(Rc::clone(loan));
        }
        let rules = self.fleet.rules();
        let amount = self.with_counter(account, |counter, now| {
            counter.start_loan(now, missing, rules)
        })??;
        let loan = Rc::new(Notify::new());
        if let Some(entry) = self.entries.borrow_mut().get_mut(account) {
            entry.loan = Some(Rc::clone(&loan));
        }
        actix_rt::spawn(Rc::clone(self).borrow_tokens(account.clone(), amount));
        Some(loan)
    }

    /// Asks the counters of the other zones, one after the other, for `amount` tokens together.
    async fn borrow_tokens(self: Rc<Self>, account: AccountName, amount: f64) {
        let started_at = Instant::now();
        let deadline = started_at + LOAN_TIMEOUT;
        let mut got = 0.0;
        let lenders = self.fleet.lenders(started_at, &account);
        for (index, lender) in lenders.iter().enumerate() {
            let until = lender_deadline(Instant::now(), deadline, lenders.len() - index);
            let (missing, purpose) = (amount - got, TokenPurpose::Loan);
            let ask = self.fleet.token_ask(&account, missing, purpose);
            let grant = self.links.take_tokens(*lender, ask, until).await;
            if let Ok(TokenGrant::Granted { tokens, .. }) = grant {
                got += tokens;
            }
            if amount - got < TOKENS_MIN {
                break;
            }
        }
        self.log
            .log_loan(&account, amount, got, started_at.elapsed());
        self.with_counter(&account, |counter, now| {
            counter.finish_loan(now, amount - TOKENS_MIN, got);
        });
        let mut entries = self.entries.borrow_mut();
        let loan = entries
            .get_mut(&account)
            .and_then(|entry| entry.loan.take());
        if let Some(loan) = loan {
            loan.notify_waiters();
        }
    }
}
