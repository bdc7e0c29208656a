//! Choice of an instance under a chosen clock and seeded random numbers.

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

/// Called service.
const SERVICE: &str = "medication-log";
/// Median latency of the route.
const TYPICAL: Duration = Duration::from_millis(20);
/// Latency of the slow instance.
const SLOW: Duration = Duration::from_millis(200);
/// Time between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which every instance takes its whole share.
const WARMED: Duration = Duration::from_secs(10);
/// Calls of one measured phase.
const CALLS: usize = 2000;
/// Limit that instances report.
const LIMIT: u32 = 10;

/// A call in progress at an instance.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    place: usize,
    ends: Instant,
}

/// A selector with the instances that it chooses from.
struct SelectorWorld {
    selector: PeerSelector,
    table: InstanceTable,
    keys: Vec<InstanceKey>,
    latencies: Vec<Duration>,
    open: Vec<OpenCall>,
    now: Instant,
    random: SmallRng,
}

impl SelectorWorld {
    /// A world seen from zone `izmit`, with one instance for each of `zones`, all warmed up.
    fn new(seed: u64, zones: &[&str]) -> Self {
        let mut table = InstanceTable::default();
        let record = |(place, zone): (usize, &&str)| InstanceRecord {
            name: format!("log-{place}").into(),
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
        let mut world = Self {
            selector: PeerSelector::new(origin),
            table,
            keys,
            latencies: vec![TYPICAL; zones.len()],
            open: Vec::new(),
            now: Instant::now(),
            random: SmallRng::seed_from_u64(seed),
        };
        world.choose();
        world.now += WARMED;
        world
    }

    fn choose(&mut self) -> Option<usize> {
        let Self {
            selector, table, ..
        } = self;
        let key = selector.choose(self.now, table, SERVICE, &[], &mut self.random)?;
        self.keys.iter().position(|listed| *listed == key)
    }

    /// Makes calls at a steady rate; how many each instance got.
    fn run(&mut self, calls: usize) -> Vec<usize> {
        let mut counts = vec![0; self.keys.len()];
        for _ in 0..calls {
            self.now += CALL_INTERVAL;
            self.end_calls();
            let place = self.choose().expect("an instance");
            self.selector.record_start(self.keys[place]);
            counts[place] += 1;
            let ends = self.now + self.latencies[place];
            self.open.push(OpenCall { place, ends });
        }
        counts
    }

    /// Answers the calls whose time is over.
    fn end_calls(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.open.extract_if(.., |call| call.ends <= now).collect();
        for OpenCall { place, ends } in ended {
            let (key, latency) = (self.keys[place], self.latencies[place]);
            self.selector
                .record_response(key, ends, latency, TYPICAL, &self.table);
        }
    }

    fn fail(&mut self, place: usize) {
        let key = self.keys[place];
        self.selector.record_start(key);
        self.selector.record_failure(key, self.now, &self.table);
    }

    fn report(&mut self, place: usize, in_progress: u32, draining: bool) {
        let load = ReportedLoad {
            in_progress,
            limit: LIMIT,
            queued: 0,
            draining,
        };
        self.selector.record_load(self.keys[place], self.now, load);
    }

    fn condition(&self, place: usize) -> PeerCondition {
        let summary = self.selector.summary(self.keys[place], self.now);
        summary.expect("a met instance").condition
    }

    /// Which instances `CALLS` choices at this moment name.
    fn chosen(&mut self) -> Vec<usize> {
        let places = (0..CALLS).filter_map(|_| self.choose());
        let mut places: Vec<_> = places.collect();
        places.sort_unstable();
        places.dedup();
        places
    }
}

/// Of two instances none is ejected as an outlier, so that straggler avoidance stands alone there.
#[rstest]
fn a_slow_instance_gets_few_calls_and_its_share_once_it_is_quick(
    #[values(2, 3)] instances: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = SelectorWorld::new(seed, &vec!["izmit"; instances]);
    world.latencies[0] = SLOW;
    let slow = world.run(CALLS);
    assert!((1..CALLS / 10).contains(&slow[0]), "{slow:?}");
    world.latencies[0] = TYPICAL;
    world.run(2 * CALLS);
    let quick = world.run(CALLS);
    assert!(quick[0] > CALLS / 4, "{quick:?}");
}

#[rstest]
fn calls_stay_in_the_own_zone_until_it_reports_no_room(#[values(1, 2, 3)] seed: u64) {
    let mut world = SelectorWorld::new(seed, &["izmit", "izmit", "gebze"]);
    assert_eq!(world.chosen(), [0, 1]);
    world.report(0, LIMIT, false);
    assert_eq!(world.chosen(), [1]);
    world.report(1, LIMIT, false);
    assert_eq!(world.chosen(), [2]);
    world.report(2, LIMIT, false);
    assert_eq!(world.chosen(), [0, 1]);
    world.report(0, 0, false);
    assert_eq!(world.chosen(), [0]);
}

#[rstest]
#[case::one(1, 0)]
#[case::two(2, 1)]
#[case::three(3, 1)]
#[case::four(4, 2)]
fn ejection_never_empties_a_service(#[case] instances: usize, #[case] ejected: usize) {
    let mut world = SelectorWorld::new(1, &vec!["izmit"; instances]);
    for _ in 0..10 {
        for place in 0..instances {
            world.fail(place);
        }
    }
    let is_ejected = |place: &usize| world.condition(*place) == PeerCondition::Ejected;
    let (left_out, kept): (Vec<_>, Vec<_>) = (0..instances).partition(is_ejected);
    assert_eq!(left_out.len(), ejected);
    assert_eq!(world.chosen(), kept);
}

#[rstest]
fn a_draining_instance_gets_nothing(#[values(true, false)] in_reply: bool) {
    let mut world = SelectorWorld::new(1, &["izmit", "gebze"]);
    if in_reply {
        world.report(0, 0, true);
    } else {
        world.selector.set_leaving(world.keys[0], true);
    }
    assert_eq!(world.chosen(), [1]);
    world.report(1, 0, true);
    assert_eq!(world.choose(), None);
    world.selector.set_leaving(world.keys[0], false);
    assert_eq!(world.chosen(), [0]);
}

/// The instance of the own zone loses every second answer. It is never ejected, since it never
/// fails three times in a row, and yet most calls go elsewhere.
#[rstest]
fn an_instance_that_fails_half_of_its_calls_gets_few_of_them(#[values(1, 2, 3)] seed: u64) {
    let world = SelectorWorld::new(seed, &["izmit", "gebze", "golcuk"]);
    let (mut selector, table, keys) = (world.selector, world.table, world.keys);
    let (mut now, mut random) = (world.now, SmallRng::seed_from_u64(seed));
    let (mut failing, mut failed) = (0_u32, 0_u32);
    for _ in 0..CALLS {
        now += CALL_INTERVAL;
        let chosen = selector.choose(now, &table, SERVICE, &[], &mut random);
        let key = chosen.expect("an instance");
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
    assert!(failing > 0, "it is tried now and then");
}
