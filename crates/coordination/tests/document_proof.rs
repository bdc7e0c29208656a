//! Proofs that the document in force is the newest, and what they allow callers with keys.

use lagoonshore_coordination::forwarding::{
    caller_access::{CallParent, PresentedKey, check_key},
    document_proof::{
        ClockReading, DocumentFreshness, ProofBounds, ProofKeeper, ProofReport, is_complete_watch,
    },
    proof_sources::choose_source,
};
use lagoonshore_state::{
    account::{AccountEntry, AccountKey},
    route_table::{CallerLimits, FleetDocument, RouteEntry, RouteTable},
    units::RequestImportance,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

const BOUNDS: ProofBounds = ProofBounds {
    revocation: Duration::from_secs(5),
    apply: Duration::from_millis(2500),
};

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Clocks of a machine that ran for `runtime` and was suspended for `suspended` since `start`.
fn clocks(start: Instant, runtime: Duration, suspended: Duration) -> ClockReading {
    ClockReading {
        runtime: start + runtime,
        since_boot: runtime + suspended,
    }
}

fn at(start: Instant, runtime: u64) -> ClockReading {
    clocks(start, millis(runtime), Duration::ZERO)
}

#[test]
fn an_age_counts_from_the_start_of_the_read() {
    let start = Instant::now();
    let mut keeper = ProofKeeper::default();
    assert_eq!(keeper.age(at(start, 0)), None);
    assert!(keeper.record_read(at(start, 1300), at(start, 100)));
    assert_eq!(keeper.age(at(start, 1300)), Some(millis(1200)));
    assert!(
        !keeper.record_read(at(start, 1400), at(start, 50)),
        "an older read"
    );
    assert_eq!(keeper.age(at(start, 2000)), Some(millis(1900)));
}

#[test]
fn the_time_of_a_suspension_counts() {
    let start = Instant::now();
    let mut keeper = ProofKeeper::default();
    keeper.record_read(at(start, 10), at(start, 0));
    let now = clocks(start, millis(20), millis(7000));
    assert_eq!(keeper.age(now), Some(millis(7020)));
    assert_eq!(BOUNDS.judge(keeper.age(now)), DocumentFreshness::Stale);
}

#[test]
fn a_report_is_older_by_the_time_that_it_may_have_been_on_the_way() {
    let start = Instant::now();
    let report = |version| ProofReport {
        version,
        age: millis(400),
    };
    let mut keeper = ProofKeeper::default();
    let (called, now) = (at(start, 0), at(start, 1000));
    assert!(
        !keeper.record_report(now, called, millis(900), report(8), 7),
        "of a newer document"
    );
    assert!(keeper.record_report(now, called, millis(900), report(7), 7));
    assert_eq!(keeper.age(now), Some(millis(500)));
    assert!(
        keeper.record_report(now, called, millis(1000), report(3), 7),
        "of an older document"
    );
    assert_eq!(keeper.age(now), Some(millis(400)));
    assert!(!keeper.record_report(now, called, millis(0), report(7), 7));
    let resumed = clocks(start, millis(1000), millis(3000));
    let mut keeper = ProofKeeper::default();
    assert!(keeper.record_report(resumed, called, millis(900), report(7), 7));
    assert_eq!(
        keeper.age(resumed),
        Some(millis(3500)),
        "suspended during the call"
    );
}

#[test]
fn a_watch_with_many_events_may_hold_only_a_part_of_the_changes() {
    assert!(is_complete_watch(0) && is_complete_watch(100));
    assert!(!is_complete_watch(500));
}

#[test]
fn questions_go_to_all_zones_in_turn() {
    let peers = [("z1", 1), ("z1", 2), ("z1", 3), ("z2", 4), ("z3", 5)];
    let peers = peers.map(|(zone, port)| (zone.into(), ([127, 0, 0, 1], port).into()));
    let mut random = SmallRng::seed_from_u64(1);
    for attempt in 0..9 {
        let asked: BTreeSet<u16> = (attempt..attempt + 3)
            .filter_map(|attempt| choose_source(peers.iter().cloned(), attempt, &mut random))
            .map(|address| address.port())
            .collect();
        assert!(asked.contains(&4) && asked.contains(&5), "{asked:?}");
        assert_eq!(asked.len(), 3);
    }
    assert_eq!(choose_source(std::iter::empty(), 3, &mut random), None);
}

fn routes(is_anonymous: bool) -> (RouteTable, RouteEntry) {
    let route = RouteEntry {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        targets: Vec::new(),
        is_idempotent: true,
        timeout: Duration::from_secs(1),
        aim: Duration::from_secs(1),
        attempts: 1,
        importance: RequestImportance(0),
        is_anonymous,
    };
    let account = AccountEntry {
        name: "ann".into(),
        keys: vec![AccountKey::new("held".into())],
        importance: None,
        quota: None,
    };
    let table = RouteTable::new(FleetDocument {
        version: 1,
        routes: vec![route.clone()],
        services: Vec::new(),
        limits: CallerLimits::default(),
        accounts: Some(vec![account]),
    });
    (table, route)
}

#[test]
fn keys_are_judged_by_the_freshness_of_the_document() {
    let key = |text: &str| PresentedKey::Single(AccountKey::new(text.into()).digest());
    let keys = [
        ("held key", key("held")),
        ("unknown key", key("other")),
        ("several keys", PresentedKey::Unusable),
        ("no key", PresentedKey::Absent),
    ];
    let freshness = [
        DocumentFreshness::Current,
        DocumentFreshness::Aging,
        DocumentFreshness::Stale,
    ];
    let mut lines = Vec::new();
    for is_anonymous in [false, true] {
        let (table, route) = routes(is_anonymous);
        for parent in [CallParent::None, CallParent::Unknown, CallParent::Running] {
            for (name, key) in &keys {
                let results = freshness.map(|freshness| {
                    match check_key(&table, &route, *key, parent, freshness) {
                        Ok(Some(account)) => account.name.to_string(),
                        Ok(None) => "runs".to_owned(),
                        Err(refusal) => refusal.as_str().to_owned(),
                    }
                });
                let parent = format!("{parent:?}");
                let kind = if is_anonymous { "open" } else { "keyed" };
                lines.push(format!(
                    "{kind:<6}{parent:<9}{name:<14}{}",
                    results.join(" | ")
                ));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// A node of the property below.
#[derive(Default)]
struct ModelNode {
    keeper: ProofKeeper,
    version: u64,
    suspended: Duration,
}

/// Guards against a key that works too long: whatever nodes read and tell each other, however long
/// that takes and whenever they are suspended or restarted, none acts on a document that was replaced
/// longer ago than the bound.
#[test]
fn no_node_trusts_a_document_that_was_replaced_before_the_bound() {
    for seed in 0..400 {
        let mut random = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut now = Duration::from_secs(100);
        let mut published = vec![Duration::ZERO];
        let mut nodes: Vec<ModelNode> = (0..5).map(|_| ModelNode::default()).collect();
        let mut trusted = 0;
        for _ in 0..200 {
            now += millis(random.random_range(0..600));
            let newest = published.len() as u64;
            let (index, other) = (random.random_range(0..5), random.random_range(0..5));
            // The clock of the runtime stands still while a machine is suspended.
            let reading = |node: &ModelNode, at: Duration| ClockReading {
                runtime: start + at.saturating_sub(node.suspended),
                since_boot: at,
            };
            match random.random_range(0..12) {
                0 => published.push(now),
                1 => {
                    nodes[index] = ModelNode {
                        suspended: nodes[index].suspended,
                        ..ModelNode::default()
                    }
                }
                2 => {
                    let pause = millis(random.random_range(0..8000));
                    now += pause;
                    nodes[index].suspended += pause;
                }
                3..=5 => {
                    // A read that some later changes have reached as well.
                    let took = millis(random.random_range(0..3000));
                    let node = &mut nodes[index];
                    let started = reading(node, now);
                    if random.random_bool(0.3) {
                        published.push(now + took.mul_f64(random.random()));
                    }
                    now += took;
                    node.version = node.version.max(newest);
                    let ended = reading(node, now);
                    node.keeper.record_read(ended, started);
                }
                _ if index != other => {
                    let called = reading(&nodes[index], now);
                    now += millis(random.random_range(0..800));
                    let held = millis(random.random_range(0..1500));
                    now += held;
                    let teller = &nodes[other];
                    let age = teller.keeper.age(reading(teller, now));
                    let report = age.map(|age| ProofReport {
                        version: teller.version,
                        age,
                    });
                    let is_pulled = random.random_bool(0.5);
                    let told = teller.version;
                    now += millis(random.random_range(0..800));
                    let node = &mut nodes[index];
                    if is_pulled {
                        node.version = node.version.max(told);
                    }
                    let ended = reading(node, now);
                    if let Some(report) = report {
                        let version = node.version;
                        node.keeper
                            .record_report(ended, called, held, report, version);
                    }
                }
                _ => {}
            }
            for node in &nodes {
                if BOUNDS.judge(node.keeper.age(reading(node, now))) == DocumentFreshness::Stale {
                    continue;
                }
                trusted += 1;
                let replaced = published.get(usize::try_from(node.version).expect("small"));
                let is_replaced = replaced
                    .is_some_and(|replaced| now.saturating_sub(*replaced) > BOUNDS.revocation);
                assert!(!is_replaced, "seed {seed}");
            }
        }
        assert!(
            trusted > 0,
            "seed {seed}: no node ever trusted its document"
        );
    }
}
