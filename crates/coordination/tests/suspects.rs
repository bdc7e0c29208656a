//! Crash suspects: golden scripts, bounds under a flood of suspects, and a property test that a
//! request that crashes upstreams stops two of them at most while all other requests are cleared.

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

/// Nodes `a` and `b`; they exchange reports only through the script command `report`.
struct SuspectRunner {
    nodes: [SuspectTable; 2],
    detector: CrashDetector,
    origin: Instant,
    now: Instant,
}

fn fingerprint_of(name: &str) -> RequestFingerprint {
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
            "crash" => {
                let report = self.nodes[node].record_crash(self.now, fingerprint_of(name()?));
                format!("{} crashes", report.crashes)
            }
            "success" => {
                self.nodes[node].record_success(fingerprint_of(name()?));
                String::new()
            }
            "decide" => format!(
                "{:?}",
                self.nodes[node].decide(self.now, fingerprint_of(name()?))
            ),
            "report" => {
                let reports = self.nodes[node].reports(self.now);
                for report in &reports {
                    self.nodes[1 - node].merge(self.now, *report);
                }
                format!("{} reported", reports.len())
            }
            "dispatch" => {
                self.detector.record_dispatch();
                String::new()
            }
            "response" => {
                self.detector.record_response();
                String::new()
            }
            "loss" => {
                self.detector.record_loss(self.now);
                String::new()
            }
            "abandoned" => {
                self.detector
                    .record_abandoned(self.now, fingerprint_of(name()?));
                String::new()
            }
            "take-abandoned" => format!("{} counted", self.detector.take_abandoned(self.now).len()),
            "count-crash" => {
                let fingerprint = fingerprint_of(name()?);
                let result = match name()? {
                    "refused" => ReconnectResult::Refused,
                    _ => ReconnectResult::Accepted,
                };
                format!("counts: {}", self.detector.count_crash(fingerprint, result))
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
        detector: CrashDetector::default(),
        origin: now,
        now,
    };
    let path = format!("tests/scripts/suspects_{name}");
    goldenscript::run(&mut runner, path).expect("the golden script must be readable");
}

#[test]
fn a_request_is_quarantined_after_two_crashes() {
    run("poison");
}

#[test]
fn one_crash_counts_once_per_request() {
    run("one_crash");
}

#[test]
fn fingerprints_depend_on_the_boundaries_of_the_parts() {
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
fn a_flood_of_suspects_stays_within_bounds_and_keeps_quarantined_entries() {
    let (mut table, mut detector, now) = (
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
        detector.record_dispatch();
        detector.record_abandoned(now, fingerprint);
    }
    assert!(table.counts(now).held <= SUSPECTS_MAX);
    assert_eq!(table.reports(now).len(), REPORTS_MAX);
    assert_eq!(detector.take_abandoned(now).len(), ABANDONED_MAX);
    assert_eq!(table.decide(now, 1), SuspectDecision::Quarantined);
    assert_eq!(table.reports(now)[0].fingerprint, 1);
}

/// Requests in a random history; the first one crashes every upstream that runs it.
const REQUESTS: u64 = 6;
/// Instances in a random history.
const INSTANCES: usize = 4;
const POISON: u64 = 0;

/// Runs a history: each step sends some requests to one instance, where `POISON` crashes the
/// upstream. Returns the number of crashes and the final decisions on all requests.
fn run_history(steps: &[(usize, BTreeSet<u64>)]) -> (u32, Vec<SuspectDecision>) {
    let now = Instant::now();
    let mut tables: Vec<_> = (0..INSTANCES).map(|_| SuspectTable::default()).collect();
    let mut crashes = 0;
    let harmless: BTreeSet<u64> = (1..REQUESTS).collect();
    let retries = [
        (0, harmless.clone()),
        (1, harmless.clone()),
        (2, harmless.clone()),
        (3, harmless),
    ];
    for (instance, requests) in steps.iter().chain(&retries) {
        let table = &mut tables[*instance];
        let decision = |request: &u64| table.decide(now, *request);
        let (together, other): (Vec<_>, Vec<_>) = requests
            .iter()
            .copied()
            .partition(|request| decision(request) == SuspectDecision::Clear);
        let alone = other
            .into_iter()
            .filter(|request| decision(request) == SuspectDecision::Alone);
        let mut runs: Vec<Vec<u64>> = alone.map(|request| vec![request]).collect();
        runs.push(together);
        let mut reports = Vec::new();
        for run in runs {
            let is_lost = run.contains(&POISON);
            crashes += u32::from(is_lost);
            for request in run {
                if is_lost {
                    reports.push(table.record_crash(now, request));
                } else {
                    table.record_success(request);
                }
            }
        }
        for report in reports {
            for table in &mut tables {
                table.merge(now, report);
            }
        }
    }
    let decisions = tables
        .iter()
        .flat_map(|table| (0..REQUESTS).map(|request| table.decide(now, request)));
    (crashes, decisions.collect())
}

#[test]
fn a_crashing_request_stops_at_most_two_upstreams_and_others_are_cleared() {
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
            let (crashes, decisions) = run_history(&steps);
            prop_assert!(crashes <= 2, "{crashes} crashes");
            for (index, decision) in decisions.into_iter().enumerate() {
                let is_poison = index as u64 % REQUESTS == POISON;
                prop_assert!(
                    is_poison || decision == SuspectDecision::Clear,
                    "decision {index}: {decision:?}"
                );
            }
            Ok(())
        })
        .expect("the property must hold for every history");
}
