//! Crash suspects: golden scripts, bounds under a flood of suspects, and property tests that a request
//! that crashes upstreams stops a bounded number of them while all other requests are cleared.

use goldenscript::{Command, Context, Runner};
use lagoonshore_coordination::protection::{
    crash_detector::{ABANDONED_MAX, CrashDetector, ReconnectResult},
    crash_set::{CrashId, CrashReport},
    fingerprint::{self, RequestFingerprint},
    suspects::{
        REPORTS_MAX, SUSPECTS_MAX, SuspectDecision, SuspectReport, SuspectRules, SuspectTable,
    },
    trial_choice,
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
    /// Number of the latest crash.
    crash: u32,
}

/// The crash with this `number` of the only instance.
fn crash_id(number: u32) -> CrashId {
    CrashId {
        instance: 1,
        number: Some(number),
    }
}

fn report_of(fingerprint: RequestFingerprint, crash: CrashId) -> SuspectReport {
    SuspectReport {
        fingerprint,
        crashes: vec![CrashReport {
            id: crash,
            age_ms: 0,
            is_cleared: false,
        }],
    }
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
                self.crash += 1;
                self.count_crash(node, name()?)
            }
            "same-crash" => self.count_crash(node, name()?),
            "lost-link" => {
                let crash = CrashId {
                    instance: 1,
                    number: None,
                };
                let fingerprint = fingerprint_of(name()?);
                let count = self.nodes[node].record_crash(self.now, fingerprint, crash);
                format!("{} crashes", count.crashes)
            }
            "success" => {
                let fingerprint = fingerprint_of(name()?);
                let is_cleared = self.nodes[node].record_success(self.now, fingerprint);
                if is_cleared {
                    "cleared".to_owned()
                } else {
                    String::new()
                }
            }
            "decide" => format!(
                "{:?}",
                self.nodes[node].decide(self.now, fingerprint_of(name()?))
            ),
            "report" => {
                let reports = self.nodes[node].reports(self.now);
                for report in &reports {
                    self.nodes[1 - node].merge(self.now, report);
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

impl SuspectRunner {
    fn count_crash(&mut self, node: usize, name: &str) -> String {
        let fingerprint = fingerprint_of(name);
        let count = self.nodes[node].record_crash(self.now, fingerprint, crash_id(self.crash));
        let suffix = if count.is_cleared {
            ", not counted"
        } else {
            ""
        };
        format!("{} crashes{suffix}", count.crashes)
    }
}

fn run(name: &str) {
    run_with(name, SuspectRules::default());
}

fn run_with(name: &str, rules: SuspectRules) {
    let now = Instant::now();
    let mut runner = SuspectRunner {
        nodes: [SuspectTable::new(rules), SuspectTable::new(rules)],
        detector: CrashDetector::default(),
        origin: now,
        now,
        crash: 0,
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

/// Guards against copies of one request that count one crash several times.
#[test]
fn copies_of_a_request_count_one_crash_once() {
    run("copies");
}

/// Guards against crashes that different nodes saw and that are joined to one.
#[test]
fn crashes_that_different_nodes_saw_add_up() {
    run_with("joined", RELAY_RULES);
}

/// Guards against the quarantine of a request that runs well wherever it does not meet a crash.
#[test]
fn complete_runs_clear_a_request_at_all_nodes() {
    run_with("complete_runs", RELAY_RULES);
}

/// Guards against a quarantine that lasts until its entry is forgotten.
#[test]
fn a_quarantine_ends_and_grows_with_each_crash_after_it() {
    run_with("probation", RELAY_RULES);
}

/// Guards against a crash that is counted twice, by the node that saw it and by a sender that lost its
/// link.
#[test]
fn a_lost_link_and_the_crash_behind_it_count_once() {
    run("lost_link");
}

#[test]
fn all_nodes_choose_the_same_instance_for_a_run_on_probation() {
    let names = ["u1", "u2", "u3", "u4", "u5"];
    let choose = |fingerprint, names: &[&'static str]| {
        trial_choice::choose(fingerprint, names.iter().copied(), |name| name)
    };
    let mut reversed = names;
    reversed.reverse();
    let chosen: Vec<_> = (0..50).map(|key| choose(key, &names)).collect();
    let other: Vec<_> = (0..50).map(|key| choose(key, &reversed)).collect();
    assert_eq!(chosen, other);
    assert_eq!(chosen.iter().collect::<BTreeSet<_>>().len(), names.len());
    assert_eq!(choose(1, &[]), None);
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
    table.record_crash(now, 1, crash_id(1));
    table.record_crash(now, 1, crash_id(2));
    for fingerprint in 2..100_000 {
        table.merge(now, &report_of(fingerprint, crash_id(3)));
        detector.record_dispatch();
        detector.record_abandoned(now, fingerprint);
    }
    assert!(table.counts(now).held <= SUSPECTS_MAX);
    assert_eq!(table.reports(now).len(), REPORTS_MAX);
    assert_eq!(detector.take_abandoned(now).len(), ABANDONED_MAX);
    assert_eq!(table.decide(now, 1), SuspectDecision::Quarantined);
    assert_eq!(table.reports(now)[0].fingerprint, 1);
}

/// Rules of nodes that run suspects beside other requests.
const RELAY_RULES: SuspectRules = SuspectRules {
    quarantine_crashes: 3,
    suspect_time: Duration::from_mins(10),
    quarantine_growth: 12,
    quarantine_max: Duration::from_hours(24),
};

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
                    table.record_crash(now, request, crash_id(crashes));
                    reports.extend(table.report(now, request));
                } else {
                    table.record_success(now, request);
                }
            }
        }
        for report in &reports {
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

/// Runs a history under the rules of nodes that run suspects beside other requests: each step sends
/// some requests to one instance, all at once, and the reports spread before the next one. Returns the
/// number of crashes, and the requests that are not clear at the end though they ran completely after
/// the last crash.
fn run_relay_history(steps: &[(usize, BTreeSet<u64>)]) -> (u32, BTreeSet<u64>) {
    let mut now = Instant::now();
    let mut tables: Vec<_> = (0..INSTANCES)
        .map(|_| SuspectTable::new(RELAY_RULES))
        .collect();
    let mut crashes = 0;
    let mut completed = BTreeSet::new();
    for (instance, requests) in steps {
        now += Duration::from_secs(1);
        let table = &mut tables[*instance];
        let is_quarantined =
            |request: &u64| table.decide(now, *request) == SuspectDecision::Quarantined;
        let run: Vec<u64> = requests
            .iter()
            .copied()
            .filter(|request| !is_quarantined(request))
            .collect();
        let is_lost = run.contains(&POISON);
        crashes += u32::from(is_lost);
        if is_lost {
            completed.clear();
        }
        for request in run {
            if is_lost {
                table.record_crash(now, request, crash_id(crashes));
            } else {
                table.record_success(now, request);
                completed.insert(request);
            }
        }
        for from in 0..INSTANCES {
            let reports = tables[from].reports(now);
            for table in &mut tables {
                for report in &reports {
                    table.merge(now, report);
                }
            }
        }
    }
    let is_suspect = |request: &u64| {
        let decide = |table: &SuspectTable| table.decide(now, *request);
        tables
            .iter()
            .any(|table| decide(table) != SuspectDecision::Clear)
    };
    completed.retain(is_suspect);
    (crashes, completed)
}

/// Guards against both faults at once: a crashing request that is let through, and a harmless one that
/// is refused although it runs well.
#[test]
fn a_crashing_request_stops_at_most_three_upstreams_and_complete_runs_clear_others() {
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[28; 32]);
    let step = (
        0..INSTANCES,
        proptest::collection::btree_set(0..REQUESTS, 0..5),
    );
    let history = proptest::collection::vec(step, 0..40);
    TestRunner::new_with_rng(config, random)
        .run(&history, |steps| {
            let (crashes, refused) = run_relay_history(&steps);
            prop_assert!(crashes <= 3, "{crashes} crashes");
            prop_assert!(refused.is_empty(), "{refused:?}");
            Ok(())
        })
        .expect("the property must hold for every history");
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
