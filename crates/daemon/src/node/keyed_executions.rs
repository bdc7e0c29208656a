//! State of a node for running keyed requests at most once.

use compact_str::CompactString;
use lagoonshore_coordination::{
    at_most_once::{
        execution_ledger::{ExecutionLedger, KeyClaim, LedgerBounds, LedgerCounts},
        executor_binding::ExecutorBindings,
        idempotency_key::{IdempotencyKey, KeyDigest, KeyIssuer, KeyOrigin, OfferedKey},
        key_home::{self, KeyHoldDown},
        message_age::AgeEstimator,
    },
    request::{
        outcome::{CallOutcome, RefusalReason},
        request_lifecycle::{CallRefusal, RequestLifecycle},
    },
};
use lagoonshore_protocol::{
    headers::{self, HeaderField},
    messages::{CallRequest, CallResult, ExecutionKey, MessageStamp},
};
use lagoonshore_settings::NodeSettings;
use lagoonshore_state::ids::{IncarnationId, InstanceName};
use rand::{RngCore, rngs::StdRng};
use serde::Serialize;
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// Domain separation tag for digests of keys that run at their home instance.
const HOME_TAG: &[u8] = b"home";
/// Domain separation tag for digests of keys that a sender bound to an executor.
const BOUND_TAG: &[u8] = b"bound";

/// Receives the result of an execution, for requests that join it.
pub(crate) type RunReceiver = watch::Receiver<Option<CallResult>>;

/// `KeyedExecutions` holds the idempotency keys, ledger and bindings of one node.
pub struct KeyedExecutions {
    pub(crate) issuer: RefCell<KeyIssuer>,
    pub(crate) ledger: RefCell<ExecutionLedger<CallResult>>,
    pub(crate) running: RefCell<BTreeMap<KeyDigest, RunReceiver>>,
    pub(crate) bindings: RefCell<ExecutorBindings>,
    hold_down: RefCell<KeyHoldDown>,
    age_estimator: Rc<RefCell<AgeEstimator>>,
    random: RefCell<StdRng>,
    incarnation: IncarnationId,
}

/// `HomeMembers` are the instances among which the home of a caller-made key is chosen.
pub(crate) struct HomeMembers {
    /// The node's own instance.
    pub(crate) own: InstanceName,
    /// All instances of the node's own service, including its own.
    pub(crate) names: BTreeSet<InstanceName>,
    /// Whether the platform can confirm them.
    pub(crate) is_confirmed: bool,
}

/// `LedgerPart` is the part of the state dump about keyed executions.
#[derive(Serialize)]
pub struct LedgerPart {
    #[serde(flatten)]
    counts: LedgerCounts,
    keys_offered: u64,
    calls_bound: usize,
    runs_caller_made_keys: bool,
}

impl KeyedExecutions {
    /// Creates the state of one incarnation; secrets are drawn from `random`.
    #[must_use]
    pub fn new(settings: &NodeSettings, incarnation: IncarnationId, random: &mut StdRng) -> Self {
        let now = Instant::now();
        let (zone, instance) = (settings.zone.clone(), settings.instance.clone());
        Self {
            issuer: RefCell::new(KeyIssuer::new(zone, instance, incarnation, now, random)),
            ledger: RefCell::new(ExecutionLedger::new(LedgerBounds::default())),
            running: RefCell::default(),
            bindings: RefCell::default(),
            hold_down: RefCell::default(),
            age_estimator: Rc::new(RefCell::new(AgeEstimator::new(now))),
            random: RefCell::new(random.clone()),
            incarnation,
        }
    }

    /// Returns a function that stamps the messages of this node.
    pub fn stamper(&self) -> impl Fn() -> MessageStamp + 'static {
        let (age_estimator, sender) = (Rc::clone(&self.age_estimator), self.incarnation);
        move || MessageStamp {
            sender,
            sent: age_estimator.borrow().stamp(Instant::now()),
        }
    }

    /// Age of a message that has just been read.
    pub fn age(&self, stamp: MessageStamp) -> Duration {
        let mut age_estimator = self.age_estimator.borrow_mut();
        age_estimator.age(Instant::now(), stamp.sender, stamp.sent)
    }

    /// Issues a new key.
    pub fn offer(&self) -> OfferedKey {
        self.issuer.borrow_mut().offer(Instant::now())
    }

    /// Records the members of the service, from which the home of a caller-made key is chosen, and
    /// whether the platform can confirm them.
    pub(crate) fn observe_members(&self, members: &HomeMembers) {
        let names = members.names.iter().cloned().collect();
        let mut hold_down = self.hold_down.borrow_mut();
        hold_down.observe(Instant::now(), names, members.is_confirmed);
    }

    /// Collects the part of the state dump.
    #[must_use]
    pub fn dump(&self) -> LedgerPart {
        LedgerPart {
            counts: self.ledger_counts(),
            keys_offered: self.issuer.borrow().offered_count(),
            calls_bound: self.bindings.borrow().len(),
            runs_caller_made_keys: self.hold_down.borrow().can_run(Instant::now(), None),
        }
    }

    /// Counts of the ledger.
    #[must_use]
    pub fn ledger_counts(&self) -> LedgerCounts {
        self.ledger.borrow().counts()
    }

    /// Builds the claim of a request whose key the sender bound to this incarnation.
    ///
    /// # Errors
    /// The key is bound to another incarnation, which may have run it.
    pub(crate) fn bound_claim(
        &self,
        request: &CallRequest,
        key: &str,
        executor: IncarnationId,
    ) -> Result<KeyClaim, CallRefusal> {
        if executor != self.incarnation {
            return Err(home_unreachable());
        }
        Ok(self.key_claim(request, BOUND_TAG, key))
    }

    /// Builds the claim of a request for which this node may be the home; `members` are read for a
    /// caller-made key.
    ///
    /// # Errors
    /// The reason why the request cannot run here.
    pub(crate) fn home_claim(
        &self,
        request: &CallRequest,
        text: &str,
        members: impl FnOnce() -> HomeMembers,
    ) -> Result<KeyClaim, CallRefusal> {
        let claim = self.key_claim(request, HOME_TAG, text);
        match IdempotencyKey::parse(text) {
            None => Err(not_run(RefusalReason::BadRequest)),
            Some(IdempotencyKey::Offered(key)) => self.offered_claim(claim, &key),
            Some(IdempotencyKey::CallerMade(key)) => {
                Ok(self.caller_made_claim(claim, &key, &members()))
            }
        }
    }

    fn offered_claim(&self, claim: KeyClaim, key: &OfferedKey) -> Result<KeyClaim, CallRefusal> {
        let issuer = self.issuer.borrow();
        match issuer.origin_of(key) {
            KeyOrigin::Own => Ok(KeyClaim {
                birth: Some(issuer.birth(key)),
                ..claim
            }),
            KeyOrigin::Forged => Err(not_run(RefusalReason::BadRequest)),
            KeyOrigin::OtherIncarnation | KeyOrigin::OtherInstance => Err(home_unreachable()),
        }
    }

    fn caller_made_claim(&self, claim: KeyClaim, key: &str, members: &HomeMembers) -> KeyClaim {
        self.observe_members(members);
        let is_home = key_home::choose(key, &members.names) == Some(&members.own);
        let can_run = is_home && self.hold_down.borrow().can_run(Instant::now(), None);
        KeyClaim {
            start_refusal: (!can_run).then_some(RefusalReason::KeyRequired),
            ..claim
        }
    }

    /// Sets the key of a non-idempotent call: the one given by the upstream, else one derived from the
    /// parent request, else a random one.
    pub(crate) fn set_call_key(&self, request: &mut CallRequest, derived: Option<CompactString>) {
        let own =
            headers::find(&request.headers, headers::IDEMPOTENCY_KEY).map(CompactString::from);
        let is_own = own.is_some();
        let key = own.or(derived).unwrap_or_else(|| self.draw_key());
        if !is_own {
            let field = HeaderField::new(headers::IDEMPOTENCY_KEY, &key);
            request.headers.push(field);
        }
        let key = compact_str::format_compact!("{} {key}", request.service);
        // The executor is set when the call is sent.
        request.key = Some(ExecutionKey::Bound { key, executor: 0 });
    }

    /// Draws a random key.
    fn draw_key(&self) -> CompactString {
        let draw = self.random.borrow_mut().next_u64();
        compact_str::format_compact!("lc1:{:016x}{draw:016x}", self.incarnation)
    }

    fn key_claim(&self, request: &CallRequest, tag: &[u8], key: &str) -> KeyClaim {
        let issuer = self.issuer.borrow();
        let CallRequest {
            method, path, body, ..
        } = request;
        KeyClaim {
            key: issuer.digest(&[tag, key.as_bytes()]),
            request: issuer.digest(&[method.as_bytes(), path.as_bytes(), body]),
            birth: None,
            start_refusal: None,
        }
    }
}

pub(crate) const fn home_unreachable() -> CallRefusal {
    CallRefusal {
        outcome: CallOutcome::Unknown,
        reason: RefusalReason::HomeUnreachable,
    }
}

const fn not_run(reason: RefusalReason) -> CallRefusal {
    RequestLifecycle::arrived().refuse(reason)
}
