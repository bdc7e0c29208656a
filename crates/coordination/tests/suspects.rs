//! Scenarios of crash suspects in goldenscript, and their invariants over random histories.

use goldenscript::{Command, Context, Runner};
use lagoonshore_coordination::protection::{
    crash_detector::{ABANDONED_MAX, CrashDetector, ReconnectResult},
    fingerprint::{self, RequestFingerprint},
    suspects::{REPORTS_MAX, SUSPECTS_MAX, SuspectDecision, SuspectReport, SuspectTable},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::{collections::BTreeSet, error::Error, time::Duration};
use tokio::time::Instant;

/// Two nodes, `a` and `b`, that know of each other only what a scenario tells them.
struct SuspectRunner {
    nodes: [SuspectTable; 2],
    watch: CrashDetector,
    origin: Instant,
    now: Instant,
}

fn named(name: &str) -> RequestFingerprint {
    fingerprint::of_request(Some(name), "medication-log", "POST", "/doses", b"")
}

impl Runner for SuspectRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, context: &Context) -> Result<String, Box<dyn Error>> {
        let mut arguments = command.consume_args();
        let node = usize::from(context.prefix.as_deref() == Some("b"));
        let mut name = || arguments.next_pos().ok_or("an argument is missing");
        let output = match command.name.as_str() {
            "at" => {
                self.now = self.origin + Duration::from_secs(name()?.parse()?);
                String::new()
            }
            "crashed" => {
                let report = self.nodes[node].record_crash(self.now, named(name()?));
                format!("{} crashes", report.crashes)
            }
            "finished" => {
                self.nodes[node].record_success(named(name()?));
                String::new()
            }
            "verdict" => format!("{:?}", self.nodes[node].decide(self.now, named(name()?))),
            "tell" => {
                let news = self.nodes[node].reports(self.now);
                for report in &news {
                    self.nodes[1 - node].merge(self.now, *report);
                }
                format!("{} told", news.len())
            }
            "hand-over" => {
                self.watch.record_dispatch();
                String::new()
            }
            "answered" => {
                self.watch.record_response();
                String::new()
            }
            "lost" => {
                self.watch.record_loss(self.now);
                String::new()
            }
            "given-up" => {
                self.watch.record_abandoned(self.now, named(name()?));
                String::new()
            }
            "lingering" => format!("{} counted", self.watch.take_abandoned(self.now).len()),
            "judge" => {
                let fingerprint = named(name()?);
                let sign = match name()? {
                    "refuses" => ReconnectResult::Refused,
                    _ => ReconnectResult::Accepted,
                };
                format!("counts: {}", self.watch.count_crash(fingerprint, sign))
            }
            name => return Err(format!("unknown command {name}").into()),
        };
        arguments.reject_next()?;
        Ok(if output.is_empty() {
            output
        } else {
            output + "\n"
        })
    }
}

fn run(name: &str) {
    let now = Instant::now();
    let mut runner = SuspectRunner {
        nodes: Default::default(),
        watch: CrashDetector::default(),
        origin: now,
        now,
    };
    let path = format!("tests/scripts/suspects_{name}");
    goldenscript::run(&mut runner, path).expect("the scenario cannot be read");
}

#[test]
fn a_poison_is_quarantined_after_two_crashes() {
    run("poison");
}

#[test]
fn one_crash_counts_once() {
    run("one_crash");
}

#[test]
fn parts_of_a_request_do_not_run_into_each_other() {
    let of = |service, path, body: &[u8]| fingerprint::of_request(None, service, "GET", path, body);
    let all = [
        of("a", "/b", b"c"),
        of("a/", "b", b"c"),
        of("a", "/", b"bc"),
        fingerprint::of_request(Some("c"), "a", "GET", "/b", b""),
        fingerprint::of_request(Some("c"), "b", "GET", "/b", b""),
    ];
    assert_eq!(BTreeSet::from(all).len(), all.len());
}

#[test]
fn a_flood_of_suspects_stays_within_bounds_and_keeps_what_is_quarantined() {
    let (mut table, mut watch, now) = (
        SuspectTable::default(),
        CrashDetector::default(),
        Instant::now(),
    );
    table.record_crash(now, 1);
    table.record_crash(now, 1);
    for fingerprint in 2..100_000 {
        table.merge(
            now,
            SuspectReport {
                fingerprint,
                crashes: 1,
            },
        );
        watch.record_dispatch();
        watch.record_abandoned(now, fingerprint);
    }
    assert!(table.counts(now).held <= SUSPECTS_MAX);
    assert_eq!(table.reports(now).len(), REPORTS_MAX);
    assert_eq!(watch.take_abandoned(now).len(), ABANDONED_MAX);
    assert_eq!(table.decide(now, 1), SuspectDecision::Quarantined);
    assert_eq!(table.reports(now)[0].fingerprint, 1);
}

/// Requests of a random history; the first is the poison.
const REQUESTS: u64 = 6;
/// Instances of a random history.
const INSTANCES: usize = 4;
const POISON: u64 = 0;

/// Runs a history: each step sends some requests to one instance, where the poison crashes the
/// upstream. Returns the crashes of the upstreams, and the verdicts on all requests in the end.
fn play(steps: &[(usize, BTreeSet<u64>)]) -> (u32, Vec<SuspectDecision>) {
    let now = Instant::now();
    let mut tables: Vec<_> = (0..INSTANCES).map(|_| SuspectTable::default()).collect();
    let mut crashes = 0;
    let innocents: BTreeSet<u64> = (1..REQUESTS).collect();
    let resends = [
        (0, innocents.clone()),
        (1, innocents.clone()),
        (2, innocents.clone()),
        (3, innocents),
    ];
    for (instance, requests) in steps.iter().chain(&resends) {
        let table = &mut tables[*instance];
        let verdict = |request: &u64| table.decide(now, *request);
        let (beside, other): (Vec<_>, Vec<_>) = requests
            .iter()
            .copied()
            .partition(|request| verdict(request) == SuspectDecision::Clear);
        let alone = other
            .into_iter()
            .filter(|request| verdict(request) == SuspectDecision::Alone);
        let mut runs: Vec<Vec<u64>> = alone.map(|request| vec![request]).collect();
        runs.push(beside);
        let mut news = Vec::new();
        for run in runs {
            let is_lost = run.contains(&POISON);
            crashes += u32::from(is_lost);
            for request in run {
                if is_lost {
                    news.push(table.record_crash(now, request));
                } else {
                    table.record_success(request);
                }
            }
        }
        for report in news {
            for table in &mut tables {
                table.merge(now, report);
            }
        }
    }
    let verdicts = tables
        .iter()
        .flat_map(|table| (0..REQUESTS).map(|request| table.decide(now, request)));
    (crashes, verdicts.collect())
}

#[test]
fn a_poison_crashes_two_upstreams_at_most_and_innocents_are_cleared() {
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let step = (
        0..INSTANCES,
        proptest::collection::btree_set(0..REQUESTS, 0..5),
    );
    let history = proptest::collection::vec(step, 0..24);
    TestRunner::new_with_rng(config, random)
        .run(&history, |steps| {
            let (crashes, verdicts) = play(&steps);
            prop_assert!(crashes <= 2, "{crashes} crashes");
            for (place, verdict) in verdicts.into_iter().enumerate() {
                let is_poison = place as u64 % REQUESTS == POISON;
                prop_assert!(
                    is_poison || verdict == SuspectDecision::Clear,
                    "{place} {verdict:?}"
                );
            }
            Ok(())
        })
        .expect("the invariant holds");
}
