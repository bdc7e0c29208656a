//! Tests of peer selection with a simulated clock and seeded random numbers.

use lagoonshore_coordination::routing::{
    PeerSelector, RoutingOrigin, ejection::PeerCondition, peer_view::ReportedLoad,
};
use lagoonshore_state::instance_table::{
    InstanceKey, InstanceRecord, InstanceState, InstanceTable,
};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

/// Name of the called service.
const SERVICE: &str = "medication-log";
/// Median latency of the route.
const TYPICAL: Duration = Duration::from_millis(20);
/// Latency of a slow instance.
const SLOW: Duration = Duration::from_millis(200);
/// Interval between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which slow start is over for every instance.
const SLOW_START_TIME: Duration = Duration::from_secs(10);
/// Number of calls in one measured phase.
const CALLS: usize = 2000;
/// Concurrency limit that instances report.
const LIMIT: u32 = 10;

/// `OpenCall` is a call in progress at an instance.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    index: usize,
    ends: Instant,
}

/// `SelectorHarness` holds a selector and the simulated instances that it chooses from.
struct SelectorHarness {
    selector: PeerSelector,
    table: InstanceTable,
    keys: Vec<InstanceKey>,
    latencies: Vec<Duration>,
    open: Vec<OpenCall>,
    now: Instant,
    random: SmallRng,
}

impl SelectorHarness {
    /// Creates a harness whose caller is in zone `izmit`, with one instance in each of `zones`, all
    /// past slow start.
    fn new(seed: u64, zones: &[&str]) -> Self {
        let mut table = InstanceTable::default();
        let record = |(index, zone): (usize, &&str)| InstanceRecord {
            name: format!("log-{index}").into(),
            service: SERVICE.into(),
            zone: (*zone).into(),
            region: "marmara".into(),
            peer: ([127, 0, 0, 1], 9000).into(),
            state: InstanceState::Live,
        };
        let records = zones.iter().enumerate().map(record);
        let keys = records.map(|record| table.upsert(record)).collect();
        let origin = RoutingOrigin {
            instance: "portal".into(),
            zone: "izmit".into(),
            region: "marmara".into(),
        };
        let mut harness = Self {
            selector: PeerSelector::new(origin),
            table,
            keys,
            latencies: vec![TYPICAL; zones.len()],
            open: Vec::new(),
            now: Instant::now(),
            random: SmallRng::seed_from_u64(seed),
        };
        harness.choose();
        harness.now += SLOW_START_TIME;
        harness
    }

    fn choose(&mut self) -> Option<usize> {
        let Self {
            selector, table, ..
        } = self;
        let key = selector.choose(self.now, table, SERVICE, &[], &mut self.random)?;
        self.keys.iter().position(|listed| *listed == key)
    }

    /// Makes calls at a steady rate; returns the number of calls to each instance.
    fn run(&mut self, calls: usize) -> Vec<usize> {
        let mut counts = vec![0; self.keys.len()];
        for _ in 0..calls {
            self.now += CALL_INTERVAL;
            self.end_calls();
            let index = self.choose().expect("an instance must be chosen");
            self.selector.record_start(self.keys[index]);
            counts[index] += 1;
            let ends = self.now + self.latencies[index];
            self.open.push(OpenCall { index, ends });
        }
        counts
    }

    /// Records the responses of the calls that have ended.
    fn end_calls(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.open.extract_if(.., |call| call.ends <= now).collect();
        for OpenCall { index, ends } in ended {
            let (key, latency) = (self.keys[index], self.latencies[index]);
            self.selector
                .record_response(key, ends, latency, TYPICAL, &self.table);
        }
    }

    fn fail(&mut self, index: usize) {
        let key = self.keys[index];
        self.selector.record_start(key);
        self.selector.record_failure(key, self.now, &self.table);
    }

    fn report(&mut self, index: usize, in_progress: u32, draining: bool) {
        let load = ReportedLoad {
            in_progress,
            limit: LIMIT,
            queued: 0,
            draining,
        };
        self.selector.record_load(self.keys[index], self.now, load);
    }

    fn condition(&self, index: usize) -> PeerCondition {
        let summary = self.selector.summary(self.keys[index], self.now);
        summary.expect("the instance must have a view").condition
    }

    /// Returns the distinct instances among `CALLS` choices at the current time.
    fn chosen(&mut self) -> Vec<usize> {
        let indices = (0..CALLS).filter_map(|_| self.choose());
        let mut indices: Vec<_> = indices.collect();
        indices.sort_unstable();
        indices.dedup();
        indices
    }
}

/// Outlier ejection needs at least two other instances to compare with, so with two instances only
/// straggler avoidance keeps calls away from the slow one.
#[rstest]
fn a_slow_instance_gets_few_calls_and_its_share_once_it_is_fast(
    #[values(2, 3)] instances: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut harness = SelectorHarness::new(seed, &vec!["izmit"; instances]);
    harness.latencies[0] = SLOW;
    let slow = harness.run(CALLS);
    assert!((1..CALLS / 10).contains(&slow[0]), "{slow:?}");
    harness.latencies[0] = TYPICAL;
    harness.run(2 * CALLS);
    let quick = harness.run(CALLS);
    assert!(quick[0] > CALLS / 4, "{quick:?}");
}

#[rstest]
fn calls_stay_in_the_own_zone_until_it_reports_no_capacity(#[values(1, 2, 3)] seed: u64) {
    let mut harness = SelectorHarness::new(seed, &["izmit", "izmit", "gebze"]);
    assert_eq!(harness.chosen(), [0, 1]);
    harness.report(0, LIMIT, false);
    assert_eq!(harness.chosen(), [1]);
    harness.report(1, LIMIT, false);
    assert_eq!(harness.chosen(), [2]);
    harness.report(2, LIMIT, false);
    assert_eq!(harness.chosen(), [0, 1]);
    harness.report(0, 0, false);
    assert_eq!(harness.chosen(), [0]);
}

#[rstest]
#[case::one(1, 0)]
#[case::two(2, 1)]
#[case::three(3, 1)]
#[case::four(4, 2)]
fn ejection_never_empties_a_service(#[case] instances: usize, #[case] ejected: usize) {
    let mut harness = SelectorHarness::new(1, &vec!["izmit"; instances]);
    for _ in 0..10 {
        for index in 0..instances {
            harness.fail(index);
        }
    }
    let is_ejected = |index: &usize| harness.condition(*index) == PeerCondition::Ejected;
    let (ejected_indices, kept): (Vec<_>, Vec<_>) = (0..instances).partition(is_ejected);
    assert_eq!(ejected_indices.len(), ejected);
    assert_eq!(harness.chosen(), kept);
}

#[rstest]
fn a_draining_instance_gets_no_calls(#[values(true, false)] in_reply: bool) {
    let mut harness = SelectorHarness::new(1, &["izmit", "gebze"]);
    if in_reply {
        harness.report(0, 0, true);
    } else {
        harness.selector.set_leaving(harness.keys[0], true);
    }
    assert_eq!(harness.chosen(), [1]);
    harness.report(1, 0, true);
    assert_eq!(harness.choose(), None);
    harness.selector.set_leaving(harness.keys[0], false);
    assert_eq!(harness.chosen(), [0]);
}

/// An instance that fails every second call never reaches three consecutive failures, so it is not
/// ejected. Even though it is the only instance in the caller's zone, most calls must go elsewhere.
#[rstest]
fn an_instance_that_fails_half_of_its_calls_gets_few_of_them(#[values(1, 2, 3)] seed: u64) {
    let harness = SelectorHarness::new(seed, &["izmit", "gebze", "golcuk"]);
    let (mut selector, table, keys) = (harness.selector, harness.table, harness.keys);
    let (mut now, mut random) = (harness.now, SmallRng::seed_from_u64(seed));
    let (mut failing, mut failed) = (0_u32, 0_u32);
    for _ in 0..CALLS {
        now += CALL_INTERVAL;
        let chosen = selector.choose(now, &table, SERVICE, &[], &mut random);
        let key = chosen.expect("an instance must be chosen");
        selector.record_start(key);
        failing += u32::from(key == keys[0]);
        if key == keys[0] && failing % 2 == 0 {
            failed += 1;
            selector.record_failure(key, now, &table);
        } else {
            selector.record_response(key, now, TYPICAL, TYPICAL, &table);
        }
    }
    assert!(failed < 60, "{failed} of {CALLS} calls failed");
    assert!(failing > 0, "the failing instance must still be tried");
}
