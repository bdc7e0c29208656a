//! Tests of placing when instances or zones fail.

use lagoonshore_coordination::{
    placing::{
        InstancePlacer, Placement, PlacingRequest, ReplyTimes, ZoneReason, urgency::RequestTime,
    },
    routing::{PeerSelector, RoutingOrigin, peer_view::ReportedLoad},
};
use lagoonshore_state::instance_table::{
    InstanceKey, InstanceRecord, InstanceState, InstanceTable,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::time::Duration;
use tokio::time::Instant;

/// Name of the called service.
const SERVICE: &str = "imaging";
/// Route of all requests.
const ROUTE: u64 = 7;
/// Time of a run.
const WORK: Duration = Duration::from_millis(100);
/// Slots of an instance.
const SLOTS: u32 = 40;
/// Choices in one check.
const CHOICES: usize = 200;

/// `PlacingHarness` is a sender in the zone `izmit` with two instances there and two in `gebze`.
struct PlacingHarness {
    selector: PeerSelector,
    placer: InstancePlacer,
    table: InstanceTable,
    keys: Vec<InstanceKey>,
    now: Instant,
    random: SmallRng,
}

impl PlacingHarness {
    fn new() -> Self {
        let mut table = InstanceTable::default();
        let zones = ["izmit", "izmit", "gebze", "gebze"];
        let record = |(index, zone): (usize, &&str)| InstanceRecord {
            name: format!("imaging-{index}").into(),
            service: SERVICE.into(),
            zone: (*zone).into(),
            region: "marmara".into(),
            peer: ([127, 0, 0, 1], 9000 + u16::try_from(index).unwrap()).into(),
            state: InstanceState::Live,
        };
        let records = zones.iter().enumerate().map(record);
        let keys = records.map(|record| table.upsert(record)).collect();
        let mut harness = Self {
            selector: PeerSelector::new(RoutingOrigin {
                instance: "".into(),
                zone: "izmit".into(),
                region: "marmara".into(),
            }),
            placer: InstancePlacer::new("izmit".into(), Duration::ZERO),
            table,
            keys,
            now: Instant::now(),
            random: SmallRng::seed_from_u64(1),
        };
        harness.place(&[], false, |_| false);
        harness
    }

    fn place(
        &mut self,
        tried: &[InstanceKey],
        is_refused: bool,
        is_degraded: impl Fn(&str) -> bool,
    ) -> Option<Placement> {
        let request = PlacingRequest {
            service: SERVICE,
            route: ROUTE,
            time: RequestTime {
                left: 10 * WORK,
                may_run_once: false,
                is_nested: true,
            },
            tried,
            is_refused,
        };
        let candidates = self.selector.candidates(self.now, &self.table, SERVICE);
        let random = &mut self.random;
        self.placer
            .place(self.now, &request, candidates, is_degraded, random)
    }

    /// Records that an instance reported `in_progress` requests.
    fn report(&mut self, index: usize, in_progress: u32) {
        let load = ReportedLoad {
            in_progress,
            limit: SLOTS,
            queued: 0,
            draining: false,
        };
        self.selector.record_load(self.keys[index], self.now, load);
        let times = ReplyTimes {
            work: Some(WORK),
            hold: WORK,
            link: Duration::ZERO,
        };
        let zone = self.table.get(self.keys[index]).unwrap().zone.clone();
        let (now, key) = (self.now, self.keys[index]);
        self.placer.record_reply(now, key, &zone, ROUTE, times);
    }

    fn lose(&mut self, index: usize) {
        self.selector.record_start(self.keys[index]);
        self.selector.record_unreachable(self.keys[index], self.now);
    }

    /// Reasons and indices of the instances of many choices.
    fn chosen(&mut self, is_degraded: impl Fn(&str) -> bool) -> (Vec<ZoneReason>, Vec<usize>) {
        let placed = (0..CHOICES).filter_map(|_| self.place(&[], false, &is_degraded));
        let placed: Vec<_> = placed.collect();
        let mut reasons: Vec<_> = placed.iter().map(|placed| placed.reason).collect();
        let index = |placed: &Placement| self.keys.iter().position(|key| *key == placed.key);
        let mut indices: Vec<_> = placed.iter().filter_map(index).collect();
        reasons.sort_unstable();
        reasons.dedup();
        indices.sort_unstable();
        indices.dedup();
        (reasons, indices)
    }
}

#[test]
fn a_zone_without_a_reachable_instance_is_left_at_once() {
    let mut harness = PlacingHarness::new();
    assert_eq!(
        harness.chosen(|_| false),
        (vec![ZoneReason::OwnZone], vec![0, 1])
    );
    harness.lose(0);
    assert_eq!(
        harness.chosen(|_| false),
        (vec![ZoneReason::OwnZone], vec![1])
    );
    harness.lose(1);
    assert_eq!(
        harness.chosen(|_| false),
        (vec![ZoneReason::NoInstance], vec![2, 3])
    );
    harness.now += Duration::from_secs(2);
    assert_eq!(
        harness.chosen(|_| false),
        (vec![ZoneReason::OwnZone], vec![0, 1])
    );
}

#[test]
fn a_degraded_zone_is_left_at_once_unless_all_are() {
    let mut harness = PlacingHarness::new();
    let own = harness.chosen(|zone| zone == "izmit");
    assert_eq!(own, (vec![ZoneReason::NoInstance], vec![2, 3]));
    let (_, all) = harness.chosen(|_| true);
    assert_eq!(all, [0, 1, 2, 3]);
}

#[test]
fn any_instance_is_tried_when_none_can_be_reached() {
    let mut harness = PlacingHarness::new();
    for index in 0..4 {
        harness.lose(index);
    }
    let (_, all) = harness.chosen(|_| false);
    assert_eq!(all, [0, 1, 2, 3]);
}

/// A refusal lets a request leave the zone at once, but only to instances that have room beyond that
/// of their own callers.
#[test]
fn a_refused_request_leaves_a_full_zone_only_where_there_is_room() {
    let mut harness = PlacingHarness::new();
    for index in 0..2 {
        harness.report(index, SLOTS);
    }
    for index in 2..4 {
        harness.report(index, SLOTS / 2);
    }
    let tried = [harness.keys[0]];
    let placed = harness.place(&tried, true, |_| false).expect("an instance");
    assert_eq!(placed.reason, ZoneReason::Overflow);
    harness.report(1, SLOTS / 2);
    let placed = harness.place(&tried, true, |_| false).expect("an instance");
    assert_eq!(
        (placed.reason, placed.key),
        (ZoneReason::OwnZone, harness.keys[1])
    );
    harness.report(1, SLOTS);
    for index in 2..4 {
        harness.report(index, SLOTS);
    }
    let placed = harness.place(&tried, true, |_| false).expect("an instance");
    assert_eq!(placed.reason, ZoneReason::OwnZone);
    let tried = [harness.keys[0], harness.keys[1]];
    let placed = harness.place(&tried, true, |_| false).expect("an instance");
    assert_eq!(placed.reason, ZoneReason::NoInstance);
}
