//! The record that a home keeps of the idempotency keys that it ran, so that each runs at most
//! once.
//!
//! A record is retained until no request with its key may start any more; only responses are
//! evicted earlier. A key without a record has therefore either never run or is refused.

use crate::{
    at_most_once::idempotency_key::{IdempotencyDigest, RequestDigest},
    request::{
        outcome::{CallOutcome, RefusalReason},
        request_lifecycle::CallRefusal,
    },
};

use lagoonshore_state::data_type;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Age up to which a key may start to run.
pub const KEY_START_WINDOW: Duration = Duration::from_mins(2);
/// Retention time of a record, from the time at which the key was made, or first claimed if
/// that time is not known.
pub const KEY_RETENTION_TIME: Duration = Duration::from_mins(5);
/// Default maximum number of records.
const RECORDS_MAX: usize = 200_000;
/// Default maximum size of the retained responses, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// `KeyClaim` is a request to run a key.
#[derive(Clone, Copy, Debug)]
pub struct KeyClaim {
    /// Digest of the key.
    pub key: IdempotencyDigest,
    /// Digest of the request that carries the key.
    pub request: RequestDigest,
    /// Time at which the key was made, if the key states it.
    pub birth: Option<Instant>,
    /// Reason to refuse a key that has not run yet; `None` if it may start.
    pub start_refusal: Option<RefusalReason>,
}

/// `RunTicket` permits one run of a key. It can't be cloned, and reporting the end of the run
/// consumes it.
#[derive(Debug)]
pub struct RunTicket {
    key: IdempotencyDigest,
}

impl RunTicket {
    /// Consumes the ticket and returns its key.
    const fn into_key(self) -> IdempotencyDigest {
        self.key
    }
}

/// `LedgerDecision` is the decision on a [`KeyClaim`].
#[derive(Debug)]
pub enum LedgerDecision<A> {
    /// The key has not run; the holder of the ticket runs it.
    Run(RunTicket),
    /// The key is running; its response also answers this request.
    Join,
    /// The key has run, with this response.
    Replay(A),
    /// The request is refused.
    Refused(CallRefusal),
}

/// `RunResult` says how a run ended.
#[derive(Clone, Debug)]
pub enum RunResult<A> {
    /// The request was not dispatched; the key may run later.
    NotRun,
    /// The key ran or may have run; its response is recorded.
    Recorded {
        /// Response to retries.
        answer: A,
        /// Size of the response in bytes.
        bytes: usize,
    },
}

#[derive(Debug)]
enum RecordState<A> {
    InFlight,
    Done { answer: A, bytes: usize },
    Evicted,
}

#[derive(Debug)]
struct LedgerRecord<A> {
    request: RequestDigest,
    expiry: Instant,
    state: RecordState<A>,
}

data_type! {
    /// `LedgerBounds` limits the memory of a ledger.
    #[derive(Copy, Eq)]
    pub struct LedgerBounds {
        /// Maximum number of records.
        pub records: usize,
        /// Maximum size of the retained responses, in bytes.
        pub answer_bytes: usize,
    }

    /// `LedgerCounts` holds the gauges and counters of a ledger.
    #[derive(Copy, Eq, Default)]
    pub struct LedgerCounts {
        /// Records in any state.
        pub records: usize,
        /// Keys that are running.
        pub in_flight: usize,
        /// Size of the retained responses, in bytes.
        pub answer_bytes: usize,
        /// Runs since the process started.
        pub started: u64,
        /// Retries answered with a retained response.
        pub replayed: u64,
        /// Retries that joined a run in progress.
        pub joined: u64,
        /// Responses evicted to stay within the bound.
        pub evicted: u64,
    }
}

impl Default for LedgerBounds {
    fn default() -> Self {
        Self {
            records: RECORDS_MAX,
            answer_bytes: ANSWER_BYTES_MAX,
        }
    }
}

/// `ExecutionLedger` decides whether a request with an idempotency key runs.
#[derive(Debug)]
pub struct ExecutionLedger<A> {
    bounds: LedgerBounds,
    records: BTreeMap<IdempotencyDigest, LedgerRecord<A>>,
    expiries: BTreeSet<(Instant, IdempotencyDigest)>,
    answer_order: VecDeque<IdempotencyDigest>,
    counts: LedgerCounts,
}

impl<A: Clone> ExecutionLedger<A> {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(bounds: LedgerBounds) -> Self {
        Self {
            bounds,
            records: BTreeMap::new(),
            expiries: BTreeSet::new(),
            answer_order: VecDeque::new(),
            counts: LedgerCounts::default(),
        }
    }

    /// Decides whether the key of a request runs, joins a run, is replayed or is refused.
    pub fn claim(&mut self, now: Instant, claim: KeyClaim) -> LedgerDecision<A> {
        self.expire(now);
        if let Some(record) = self.records.get(&claim.key) {
            let decision = Self::decision_for_record(record, claim.request);
            match decision {
                LedgerDecision::Join => self.counts.joined += 1,
                LedgerDecision::Replay(_) => self.counts.replayed += 1,
                _ => {}
            }
            return decision;
        }
        match self.refuse_unrecorded(now, claim) {
            Some(refusal) => LedgerDecision::Refused(refusal),
            None => LedgerDecision::Run(self.start(now, claim)),
        }
    }

    /// Records the result of the run that `ticket` permitted.
    pub fn finish(&mut self, now: Instant, ticket: RunTicket, end: RunResult<A>) {
        let key = ticket.into_key();
        self.counts.in_flight -= 1;
        match end {
            RunResult::NotRun => self.remove_record(key),
            RunResult::Recorded { answer, bytes } => {
                if let Some(record) = self.records.get_mut(&key) {
                    record.state = RecordState::Done { answer, bytes };
                    self.counts.answer_bytes += bytes;
                    self.answer_order.push_back(key);
                }
                self.evict_answers();
            }
        }
        self.expire(now);
    }

    /// Gauges and counters of the ledger.
    #[must_use]
    pub fn counts(&self) -> LedgerCounts {
        LedgerCounts {
            records: self.records.len(),
            ..self.counts
        }
    }

    fn decision_for_record(record: &LedgerRecord<A>, request: RequestDigest) -> LedgerDecision<A> {
        if record.request != request {
            return refused(CallOutcome::NotRun, RefusalReason::KeyReused);
        }
        match &record.state {
            RecordState::InFlight => LedgerDecision::Join,
            RecordState::Done { answer, .. } => LedgerDecision::Replay(answer.clone()),
            RecordState::Evicted => refused(CallOutcome::Ran, RefusalReason::AnswerEvicted),
        }
    }

    /// Refusal of a key without a record, if it may not start. The outcome is not `not-run` if the
    /// key is so old that a record of it may have expired.
    fn refuse_unrecorded(&self, now: Instant, claim: KeyClaim) -> Option<CallRefusal> {
        let refusal = |outcome, reason| Some(CallRefusal { outcome, reason });
        if let Some(birth) = claim.birth {
            if now >= birth + KEY_RETENTION_TIME {
                return refusal(CallOutcome::Unknown, RefusalReason::KeyExpired);
            }
            if now >= birth + KEY_START_WINDOW {
                return refusal(CallOutcome::NotRun, RefusalReason::KeyExpired);
            }
        }
        if let Some(reason) = claim.start_refusal {
            return refusal(CallOutcome::NotRun, reason);
        }
        if self.records.len() >= self.bounds.records {
            return refusal(CallOutcome::NotRun, RefusalReason::Overload);
        }
        None
    }

    fn start(&mut self, now: Instant, claim: KeyClaim) -> RunTicket {
        let expiry = claim.birth.unwrap_or(now) + KEY_RETENTION_TIME;
        let record = LedgerRecord {
            request: claim.request,
            expiry,
            state: RecordState::InFlight,
        };
        self.records.insert(claim.key, record);
        self.expiries.insert((expiry, claim.key));
        self.counts.started += 1;
        self.counts.in_flight += 1;
        RunTicket { key: claim.key }
    }

    /// Evicts the oldest responses until the rest is within the bound; their records stay.
    fn evict_answers(&mut self) {
        while self.counts.answer_bytes > self.bounds.answer_bytes {
            let Some(key) = self.answer_order.pop_front() else {
                return;
            };
            if let Some(record) = self.records.get_mut(&key)
                && let RecordState::Done { bytes, .. } = record.state
            {
                record.state = RecordState::Evicted;
                self.counts.answer_bytes -= bytes;
                self.counts.evicted += 1;
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((expiry, key)) = self.expiries.first().copied() {
            if expiry > now {
                return;
            }
            let is_running = matches!(
                self.records.get(&key).map(|record| &record.state),
                Some(RecordState::InFlight)
            );
            if is_running {
                // The record of a run in progress is kept past its expiry; the next call checks it
                // again.
                return;
            }
            self.remove_record(key);
        }
    }

    fn remove_record(&mut self, key: IdempotencyDigest) {
        let Some(record) = self.records.remove(&key) else {
            return;
        };
        self.expiries.remove(&(record.expiry, key));
        if let RecordState::Done { bytes, .. } = record.state {
            self.counts.answer_bytes -= bytes;
        }
        while let Some(oldest) = self.answer_order.front()
            && !self.records.contains_key(oldest)
        {
            self.answer_order.pop_front();
        }
    }
}

const fn refused<A>(outcome: CallOutcome, reason: RefusalReason) -> LedgerDecision<A> {
    LedgerDecision::Refused(CallRefusal { outcome, reason })
}
