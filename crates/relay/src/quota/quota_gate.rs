//! Admits the requests of an account by the tokens that this node has taken from its counter.

use super::{
    account_hand::{AccountHand, HandStep, WaitingGuard},
    fleet_counters::FleetCounters,
    quota_counters::QuotaCounters,
    quota_log::QuotaLog,
    quota_view::{HandView, QuotaExpectation},
};

use crate::calling::peer_links::{LinkError, PeerLinks};

use lagoonshore_coordination::{
    quota::{
        quota_timeouts::{ASK_TIMEOUT, UNANSWERED_TIME, WAIT_MAX},
        silent_counters::SilentCounters,
        token_hand::QuotaToken,
    },
    request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::{TokenAsk, TokenGrant, TokenPurpose};
use lagoonshore_settings::ControlMode;
use lagoonshore_state::{account::AccountEntry, ids::AccountName};
use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Accounts whose tokens are kept before those of idle ones are dropped.
const HANDS_MAX: usize = 1024;
/// Time without a request after which an account is idle.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// `QuotaGate` admits requests of accounts.
pub struct QuotaGate {
    control: ControlMode,
    fleet: Rc<FleetCounters>,
    counters: Rc<QuotaCounters>,
    links: Rc<PeerLinks>,
    log: Rc<QuotaLog>,
    hands: RefCell<HashMap<AccountName, Rc<AccountHand>>>,
    silent: RefCell<SilentCounters>,
}

/// `QuotaPermit` is the admission of one request. Dropping it spends its token.
pub struct QuotaPermit {
    entry: Rc<AccountHand>,
    token: QuotaToken,
}

impl QuotaPermit {
    /// Gives the token of a request that did not run back.
    pub fn give_back(self) {
        let mut hand = self.entry.hand.borrow_mut();
        hand.restore(Instant::now(), self.token);
    }
}

/// `QuotaRefusal` says why a request was not admitted, and when its caller may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Whether the quota is used up, or no counter answered.
    pub reason: RefusalReason,
    /// Time after which the caller may return.
    pub retry_after: Duration,
}

impl QuotaRefusal {
    /// No counter answered.
    const UNANSWERED: Self = Self {
        reason: RefusalReason::QuotaUnknown,
        retry_after: UNANSWERED_TIME,
    };

    /// The quota is used up.
    const fn over_quota(retry_after: Duration) -> Self {
        Self {
            reason: RefusalReason::QuotaExceeded,
            retry_after,
        }
    }
}

impl QuotaGate {
    /// Creates the gate of a node.
    #[must_use]
    pub fn new(
        control: ControlMode,
        fleet: Rc<FleetCounters>,
        counters: Rc<QuotaCounters>,
        links: Rc<PeerLinks>,
        log: Rc<QuotaLog>,
    ) -> Rc<Self> {
        Rc::new(Self {
            control,
            fleet,
            counters,
            links,
            log,
            hands: RefCell::default(),
            silent: RefCell::default(),
        })
    }

    /// Admits a request of `account`, after a short wait for a token if this node holds none, but not
    /// beyond its `deadline`. `None` if the account has no quota.
    ///
    /// # Errors
    /// [`QuotaRefusal`] if the quota is used up, or if no counter answers.
    pub async fn admit(
        self: &Rc<Self>,
        account: &AccountEntry,
        deadline: Instant,
    ) -> Result<Option<QuotaPermit>, QuotaRefusal> {
        if !self.is_limited(account) {
            return Ok(None);
        }
        let entry = self.entry(&account.name);
        let now = Instant::now();
        entry.used_at.set(now);
        entry.hand.borrow_mut().record_request(now);
        let Some(token) = self.wait_for_token(&entry, deadline).await? else {
            return Ok(None);
        };
        let rules = self.fleet.rules();
        let is_low = entry.hand.borrow_mut().is_low(Instant::now(), rules);
        if is_low {
            self.start_ask(&entry);
        }
        Ok(Some(QuotaPermit { entry, token }))
    }

    /// Drops what is held for accounts that have no quota any more.
    pub fn apply_directory_change(&self) {
        let mut hands = self.hands.borrow_mut();
        hands.retain(|account, _| self.fleet.quota(account).is_some());
    }

    /// Returns what a request of `account` would meet now. Nothing is taken.
    pub(crate) fn expect(&self, account: &AccountEntry) -> QuotaExpectation {
        if !self.is_limited(account) {
            return QuotaExpectation::Unlimited;
        }
        let hands = self.hands.borrow();
        let Some(entry) = hands.get(&account.name) else {
            return QuotaExpectation::Ask;
        };
        let now = Instant::now();
        match entry.step(now) {
            HandStep::Take => QuotaExpectation::InHand,
            HandStep::Ask => QuotaExpectation::Ask,
            HandStep::Unanswered => QuotaExpectation::Refused(QuotaRefusal::UNANSWERED),
            HandStep::OverQuota => {
                let (rate, nodes) = self.return_rates(entry);
                let returns_at = entry.hand.borrow().next_return(now, rate, nodes);
                QuotaExpectation::Refused(QuotaRefusal::over_quota(returns_at - now))
            }
        }
    }

    /// Returns whether the requests of `account` need tokens.
    fn is_limited(&self, account: &AccountEntry) -> bool {
        account.quota.is_some() && self.control != ControlMode::PassThrough
    }

    /// Returns the tokens in hand of those accounts for operators for which `is_shown` holds.
    pub(crate) fn views(&self, is_shown: impl Fn(&str) -> bool) -> Vec<HandView> {
        let now = Instant::now();
        let hands = self.hands.borrow();
        let shown = hands.values().filter(|entry| is_shown(&entry.account));
        let views = shown.map(|entry| {
            let mut hand = entry.hand.borrow_mut();
            let (requests, tokens) = hand.rates(now);
            HandView {
                account: entry.account.clone(),
                counter: self.fleet.candidates(now, &entry.account).first().copied(),
                tokens: hand.count(now),
                request_rate: requests,
                token_rate: tokens,
                waiting: entry.waiting.get(),
                is_short: !hand.can_ask(now),
            }
        });
        views.collect()
    }

    /// Waits for a token; `None` if a newer document gives the account no quota.
    async fn wait_for_token(
        self: &Rc<Self>,
        entry: &Rc<AccountHand>,
        deadline: Instant,
    ) -> Result<Option<QuotaToken>, QuotaRefusal> {
        let until = deadline.min(Instant::now() + WAIT_MAX);
        let waiting = WaitingGuard::new(entry);
        loop {
            let now = Instant::now();
            let step = entry.step(now);
            if step == HandStep::Take {
                return Ok(entry.take(now));
            }
            if self.fleet.quota(&entry.account).is_none() {
                return Ok(None);
            }
            match step {
                HandStep::Ask if now < until => {}
                HandStep::OverQuota if now < until => return Err(self.refuse_over_quota(entry)),
                _ => return Err(self.refuse_unanswered(entry)),
            }
            let answered = entry.answered.notified();
            self.start_ask(entry);
            if tokio::time::timeout_at(until, answered).await.is_err() {
                drop(waiting);
                return Err(self.refuse_unanswered(entry));
            }
        }
    }

    /// Returns the requests a second that the quota of an account allows, and the nodes that share them.
    fn return_rates(&self, entry: &AccountHand) -> (f64, u32) {
        let quota = self.fleet.quota(&entry.account);
        let rate = quota.map_or(0.0, |quota| quota.rate);
        (rate, self.fleet.node_count())
    }

    fn refuse_over_quota(&self, entry: &AccountHand) -> QuotaRefusal {
        let now = Instant::now();
        let (rate, nodes) = self.return_rates(entry);
        let mut hand = entry.hand.borrow_mut();
        let refusal = QuotaRefusal::over_quota(hand.retry_after(now, rate, nodes));
        let rates = hand.rates(now);
        self.log.log_refused(&entry.account, refusal, rates);
        refusal
    }

    fn refuse_unanswered(&self, entry: &AccountHand) -> QuotaRefusal {
        let refusal = QuotaRefusal::UNANSWERED;
        let rates = entry.hand.borrow().rates(Instant::now());
        self.log.log_refused(&entry.account, refusal, rates);
        refusal
    }

    fn entry(&self, account: &AccountName) -> Rc<AccountHand> {
        let mut hands = self.hands.borrow_mut();
        if let Some(entry) = hands.get(account) {
            return Rc::clone(entry);
        }
        let now = Instant::now();
        if hands.len() >= HANDS_MAX {
            hands.retain(|_, entry| now < entry.used_at.get() + IDLE_TIME);
        }
        let entry = Rc::new(AccountHand::new(now, account.clone()));
        hands.insert(account.clone(), Rc::clone(&entry));
        entry
    }

    /// Asks for tokens unless an ask is in progress.
    fn start_ask(self: &Rc<Self>, entry: &Rc<AccountHand>) {
        if !entry.is_asking.replace(true) {
            actix_rt::spawn(Rc::clone(self).ask(Rc::clone(entry)));
        }
    }

    /// Asks one counter after the other until one answers.
    async fn ask(self: Rc<Self>, entry: Rc<AccountHand>) {
        let is_answered = self.ask_counters(&entry).await;
        if !is_answered {
            let until = Instant::now() + UNANSWERED_TIME;
            entry.unanswered_until.set(until);
        }
        entry.is_asking.set(false);
        entry.answered.notify_waiters();
    }

    async fn ask_counters(&self, entry: &AccountHand) -> bool {
        for address in self.askable_counters(&entry.account) {
            let asked_at = Instant::now();
            let rules = self.fleet.rules();
            let waiting = entry.waiting.get();
            let wanted = entry.hand.borrow_mut().wanted(asked_at, waiting, rules);
            let purpose = TokenPurpose::Requests;
            let ask = self.fleet.token_ask(&entry.account, wanted, purpose);
            let answer = self.send(address, ask, asked_at + ASK_TIMEOUT).await;
            self.record_answer(address, answer.as_ref().err());
            match answer {
                Ok(TokenGrant::Granted { tokens, short_ms }) => {
                    let short_for = Duration::from_millis(short_ms.into());
                    entry.add(asked_at, tokens, short_for, &self.fleet);
                    return true;
                }
                Ok(TokenGrant::NotCounter) | Err(_) => {}
            }
        }
        false
    }

    async fn send(
        &self,
        address: SocketAddr,
        ask: TokenAsk,
        deadline: Instant,
    ) -> Result<TokenGrant, LinkError> {
        if address != self.fleet.own_address() {
            return self.links.take_tokens(address, ask, deadline).await;
        }
        Ok(self.counters.serve(ask).await)
    }

    /// Returns the counters of `account` to ask, in their order.
    fn askable_counters(&self, account: &AccountName) -> Vec<SocketAddr> {
        let now = Instant::now();
        let candidates = self.fleet.candidates(now, account);
        self.silent.borrow().select(now, candidates)
    }

    fn record_answer(&self, address: SocketAddr, error: Option<&LinkError>) {
        let mut silent = self.silent.borrow_mut();
        let Some(error) = error else {
            silent.record_answer(address);
            return;
        };
        silent.record_silence(Instant::now(), address);
        self.log.log_unanswered(address, *error);
    }
}
