//! Property test of the execution ledger: in any order of events a key runs at most once, and no
//! request that ran is refused as `not-run`.

use lagoonshore_coordination::{
    at_most_once::{
        execution_ledger::{
            ExecutionLedger, KEY_RETENTION_TIME, KEY_START_WINDOW, KeyClaim, LedgerBounds,
            LedgerDecision, RunResult, RunTicket,
        },
        idempotency_key::{KeyIssuer, KeyOrigin, OfferedKey},
    },
    request::outcome::{CallOutcome, RefusalReason},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::{SeedableRng, rngs::StdRng};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Small enough for both bounds to be reached.
const BOUNDS: LedgerBounds = LedgerBounds {
    records: 6,
    answer_bytes: 100,
};
const CASES: u32 = 2000;

/// Event at a node; the numbers are indices, modulo the number of keys or runs.
#[derive(Clone, Copy, Debug)]
enum Event {
    Offer,
    Claim {
        key: usize,
        body: u8,
        draining: bool,
    },
    Finish {
        run: usize,
        bytes: Option<usize>,
    },
    Wait(u64),
    Restart,
}

fn event_strategy() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::Offer),
        8 => (0..20_usize, 0..2_u8, prop::bool::weighted(0.1))
            .prop_map(|(key, body, draining)| Event::Claim { key, body, draining }),
        5 => (0..4_usize, prop::option::weighted(0.8, 0..60_usize))
            .prop_map(|(run, bytes)| Event::Finish { run, bytes }),
        2 => (0..150_u64).prop_map(Event::Wait),
        1 => Just(Event::Restart),
    ]
}

/// One node and its restarts, with the runs as its upstream counts them.
struct LedgerModel {
    random: StdRng,
    now: Instant,
    incarnation: u64,
    issuer: KeyIssuer,
    ledger: ExecutionLedger<String>,
    keys: Vec<OfferedKey>,
    running: Vec<(usize, u8, RunTicket)>,
    runs: BTreeMap<usize, (u8, u32)>,
}

impl LedgerModel {
    fn new() -> Self {
        let (now, mut random) = (Instant::now(), StdRng::seed_from_u64(7));
        let issuer = KeyIssuer::new("izmit".into(), "log-1".into(), 1, now, &mut random);
        Self {
            random,
            now,
            incarnation: 1,
            issuer,
            ledger: ExecutionLedger::new(BOUNDS),
            keys: Vec::new(),
            running: Vec::new(),
            runs: BTreeMap::new(),
        }
    }

    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Offer => self.keys.push(self.issuer.offer(self.now)),
            Event::Claim {
                key,
                body,
                draining,
            } if !self.keys.is_empty() => self.claim(key % self.keys.len(), body, draining)?,
            Event::Finish { run, bytes } if !self.running.is_empty() => {
                self.finish(run % self.running.len(), bytes)?;
            }
            Event::Wait(seconds) => self.now += Duration::from_secs(seconds),
            Event::Restart => self.restart(),
            Event::Claim { .. } | Event::Finish { .. } => {}
        }
        Ok(())
    }

    fn claim(&mut self, index: usize, body: u8, draining: bool) -> Result<(), TestCaseError> {
        let key = &self.keys[index];
        if self.issuer.origin_of(key) != KeyOrigin::Own {
            return Ok(());
        }
        let claim = KeyClaim {
            key: self.issuer.digest(&[key.to_string().as_bytes()]),
            request: body.into(),
            birth: Some(self.issuer.birth(key)),
            start_refusal: draining.then_some(RefusalReason::Draining),
        };
        match self.ledger.claim(self.now, claim) {
            LedgerDecision::Run(ticket) => {
                prop_assert!(!draining, "a draining node started a run");
                self.record_run(index, body)?;
                self.running.push((index, body, ticket));
            }
            LedgerDecision::Join => {
                prop_assert!(
                    self.running
                        .iter()
                        .any(|run| (run.0, run.1) == (index, body))
                );
            }
            LedgerDecision::Replay(answer) => {
                prop_assert_eq!(answer, format!("{index} {body}"));
            }
            LedgerDecision::Refused(refusal) if refusal.outcome == CallOutcome::NotRun => {
                let ran = self.runs.get(&index).is_some_and(|(ran, _)| *ran == body);
                prop_assert!(!ran, "false not-run: {:?}", refusal.reason);
            }
            LedgerDecision::Refused(_) => {}
        }
        Ok(())
    }

    /// Counts a run at the upstream; `finish` removes it if the request was not dispatched.
    fn record_run(&mut self, index: usize, body: u8) -> Result<(), TestCaseError> {
        let (_, runs) = self.runs.entry(index).or_insert((body, 0));
        *runs += 1;
        prop_assert!(*runs <= 1, "key {index} ran {runs} times");
        Ok(())
    }

    fn finish(&mut self, run: usize, bytes: Option<usize>) -> Result<(), TestCaseError> {
        let (index, body, ticket) = self.running.swap_remove(run);
        let end = if let Some(bytes) = bytes {
            RunResult::Recorded {
                answer: format!("{index} {body}"),
                bytes,
            }
        } else {
            self.runs.remove(&index);
            RunResult::NotRun
        };
        self.ledger.finish(self.now, ticket, end);
        let counts = self.ledger.counts();
        prop_assert!(counts.answer_bytes <= BOUNDS.answer_bytes);
        prop_assert!(counts.records <= BOUNDS.records);
        prop_assert_eq!(counts.in_flight, self.running.len());
        Ok(())
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        let (zone, instance) = ("izmit".into(), "log-1".into());
        let random = &mut self.random;
        self.issuer = KeyIssuer::new(zone, instance, self.incarnation, self.now, random);
        self.ledger = ExecutionLedger::new(BOUNDS);
        self.running.clear();
    }
}

#[test]
fn any_order_of_events_runs_a_key_at_most_once() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let events = prop::collection::vec(event_strategy(), 1..60);
    let outcome = runner.run(&events, |events| {
        let mut model = LedgerModel::new();
        events.into_iter().try_for_each(|event| model.apply(event))
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}

/// Decision on a key without a record, `age` after its offer.
fn decision_at(age: Duration) -> String {
    let now = Instant::now();
    let mut ledger = ExecutionLedger::<String>::new(BOUNDS);
    let claim = KeyClaim {
        key: 1,
        request: 1,
        birth: Some(now),
        start_refusal: None,
    };
    match ledger.claim(now + age, claim) {
        LedgerDecision::Refused(refusal) => {
            format!("{} {}", refusal.outcome.as_str(), refusal.reason.as_str())
        }
        decision => format!("{decision:?}"),
    }
}

#[test]
fn an_expired_key_never_starts_and_is_not_run_only_within_the_retention_time() {
    let millisecond = Duration::from_millis(1);
    assert!(decision_at(KEY_START_WINDOW.saturating_sub(millisecond)).starts_with("Run"));
    assert_eq!(decision_at(KEY_START_WINDOW), "not-run key-expired");
    assert_eq!(
        decision_at(KEY_RETENTION_TIME.saturating_sub(millisecond)),
        "not-run key-expired"
    );
    assert_eq!(decision_at(KEY_RETENTION_TIME), "unknown key-expired");
}

#[test]
fn a_key_whose_answer_was_evicted_is_refused_as_ran() {
    let now = Instant::now();
    let mut ledger = ExecutionLedger::new(BOUNDS);
    for key in 1..=2 {
        let claim = KeyClaim {
            key,
            request: 1,
            birth: None,
            start_refusal: None,
        };
        let LedgerDecision::Run(ticket) = ledger.claim(now, claim) else {
            panic!("a new key must run");
        };
        let end = RunResult::Recorded {
            answer: "whole".to_owned(),
            bytes: 60,
        };
        ledger.finish(now, ticket, end);
    }
    let claim = KeyClaim {
        key: 1,
        request: 1,
        birth: None,
        start_refusal: None,
    };
    let LedgerDecision::Refused(refusal) = ledger.claim(now, claim) else {
        panic!("a key whose answer was evicted must be refused");
    };
    let found = (refusal.outcome, refusal.reason);
    assert_eq!(found, (CallOutcome::Ran, RefusalReason::AnswerEvicted));
}
