//! What a home remembers of the keys that it ran, so that each runs at most once.
//!
//! A record is kept until no key that could match it may start any more; only answers are given up
//! early. So a key without a record has either never run or is refused.

use crate::{
    at_most_once::idempotency_key::{KeyDigest, RequestDigest},
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

/// Time after its birth within which a key may start to run.
pub const KEY_START_TIME: Duration = Duration::from_mins(2);
/// Time after its birth, or its first sight, for which the record of a key is kept.
pub const KEY_RECORD_TIME: Duration = Duration::from_mins(5);
/// Records that a ledger holds at most.
const RECORDS_MAX: usize = 200_000;
/// Bytes of answers that a ledger holds at most.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// `KeyClaim` describes a keyed request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct KeyClaim {
    /// Digest of the key.
    pub key: KeyDigest,
    /// Digest of what is asked.
    pub request: RequestDigest,
    /// Time of the offer, where the key tells it.
    pub birth: Option<Instant>,
    /// Why nothing new may start, if so.
    pub start_refusal: Option<RefusalReason>,
}

/// `RunTicket` is the right to run a key once; it is consumed by the end of the run.
#[derive(Debug)]
pub struct RunTicket {
    key: KeyDigest,
}

impl RunTicket {
    /// Gives the ticket up for the key that it was for.
    const fn redeem(self) -> KeyDigest {
        self.key
    }
}

/// `LedgerDecision` answers a claim.
#[derive(Debug)]
pub enum LedgerDecision<A> {
    /// The key runs now, for the first time.
    Run(RunTicket),
    /// The key is running; its end answers this request as well.
    Join,
    /// The key ran; this is its answer.
    Replay(A),
    /// The request is refused.
    Refused(CallRefusal),
}

/// `RunResult` is how a run ended.
#[derive(Clone, Debug)]
pub enum RunResult<A> {
    /// Nothing was handed over; the key may run later.
    NotRun,
    /// The key ran or may have run; `bytes` is the size of the answer.
    Recorded {
        /// What resends are answered with.
        answer: A,
        /// Size of the answer in bytes.
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
    /// `LedgerBounds` bounds what a ledger holds.
    #[derive(Copy, Eq)]
    pub struct LedgerBounds {
        /// Records.
        pub records: usize,
        /// Bytes of answers.
        pub answer_bytes: usize,
    }

    /// `LedgerCounts` counts what a ledger holds and did.
    #[derive(Copy, Eq, Default)]
    pub struct LedgerCounts {
        /// Records of all states.
        pub records: usize,
        /// Keys that run now.
        pub in_flight: usize,
        /// Bytes of the answers held.
        pub answer_bytes: usize,
        /// Runs started since the process started.
        pub started: u64,
        /// Resends answered from the ledger.
        pub replayed: u64,
        /// Resends that joined a run.
        pub joined: u64,
        /// Answers given up for want of room.
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

/// `ExecutionLedger` decides whether a keyed request runs.
#[derive(Debug)]
pub struct ExecutionLedger<A> {
    bounds: LedgerBounds,
    records: BTreeMap<KeyDigest, LedgerRecord<A>>,
    expiries: BTreeSet<(Instant, KeyDigest)>,
    answers: VecDeque<KeyDigest>,
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
            answers: VecDeque::new(),
            counts: LedgerCounts::default(),
        }
    }

    /// Decides on a keyed request that has arrived.
    pub fn claim(&mut self, now: Instant, claim: KeyClaim) -> LedgerDecision<A> {
        self.expire(now);
        if let Some(record) = self.records.get(&claim.key) {
            let verdict = Self::known(record, claim.request);
            match verdict {
                LedgerDecision::Join => self.counts.joined += 1,
                LedgerDecision::Replay(_) => self.counts.replayed += 1,
                _ => {}
            }
            return verdict;
        }
        match self.refusal_of_unknown(now, claim) {
            Some(refusal) => LedgerDecision::Refused(refusal),
            None => LedgerDecision::Run(self.start(now, claim)),
        }
    }

    /// Notes how the run of `ticket` ended.
    pub fn finish(&mut self, now: Instant, ticket: RunTicket, end: RunResult<A>) {
        let key = ticket.redeem();
        self.counts.in_flight -= 1;
        match end {
            RunResult::NotRun => self.forget(key),
            RunResult::Recorded { answer, bytes } => {
                if let Some(record) = self.records.get_mut(&key) {
                    record.state = RecordState::Done { answer, bytes };
                    self.counts.answer_bytes += bytes;
                    self.answers.push_back(key);
                }
                self.evict();
            }
        }
        self.expire(now);
    }

    /// Counts of what the ledger holds and did.
    #[must_use]
    pub fn counts(&self) -> LedgerCounts {
        LedgerCounts {
            records: self.records.len(),
            ..self.counts
        }
    }

    fn known(record: &LedgerRecord<A>, request: RequestDigest) -> LedgerDecision<A> {
        if record.request != request {
            return refused(CallOutcome::NotRun, RefusalReason::KeyReused);
        }
        match &record.state {
            RecordState::InFlight => LedgerDecision::Join,
            RecordState::Done { answer, .. } => LedgerDecision::Replay(answer.clone()),
            RecordState::Evicted => refused(CallOutcome::Ran, RefusalReason::AnswerEvicted),
        }
    }

    /// A key whose record may be gone is never called `not-run`.
    fn refusal_of_unknown(&self, now: Instant, claim: KeyClaim) -> Option<CallRefusal> {
        let refusal = |outcome, reason| Some(CallRefusal { outcome, reason });
        if let Some(birth) = claim.birth {
            if now >= birth + KEY_RECORD_TIME {
                return refusal(CallOutcome::Unknown, RefusalReason::KeyExpired);
            }
            if now >= birth + KEY_START_TIME {
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
        let expiry = claim.birth.unwrap_or(now) + KEY_RECORD_TIME;
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

    /// Gives up the oldest answers until the rest fits; their records stay.
    fn evict(&mut self) {
        while self.counts.answer_bytes > self.bounds.answer_bytes {
            let Some(key) = self.answers.pop_front() else {
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
            let running = matches!(
                self.records.get(&key).map(|record| &record.state),
                Some(RecordState::InFlight)
            );
            if running {
                // A run that outlasts its record keeps it; the next look finds it again.
                return;
            }
            self.forget(key);
        }
    }

    fn forget(&mut self, key: KeyDigest) {
        let Some(record) = self.records.remove(&key) else {
            return;
        };
        self.expiries.remove(&(record.expiry, key));
        if let RecordState::Done { bytes, .. } = record.state {
            self.counts.answer_bytes -= bytes;
        }
        while let Some(oldest) = self.answers.front()
            && !self.records.contains_key(oldest)
        {
            self.answers.pop_front();
        }
    }
}

const fn refused<A>(outcome: CallOutcome, reason: RefusalReason) -> LedgerDecision<A> {
    LedgerDecision::Refused(CallRefusal { outcome, reason })
}
