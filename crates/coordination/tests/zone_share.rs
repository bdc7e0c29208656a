//! Tests of the share of the requests that leaves a zone.

#[path = "support/placing_model.rs"]
mod placing_model;

use lagoonshore_coordination::placing::{
    ZoneReason,
    urgency::RequestTime,
    zone_share::{ZoneBalance, ZoneShare},
};
use placing_model::{OWN_ZONE, PlacingModel, SLOTS, WORK};
use rand::rngs::SmallRng;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

/// Zone beside that of the senders.
const OTHER_ZONE: &str = "gebze";
/// Time that must be saved to leave the zone.
const LEAVE_COST: Duration = Duration::from_millis(5);
/// Time between two steps of a share.
const STEP: Duration = Duration::from_millis(100);
/// Time within which a share follows a change of the load.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Number of senders.
const SENDERS: usize = 60;
/// Instances of each zone.
const OWN_INSTANCES: u32 = 3;

fn usual_time(_: &mut SmallRng) -> RequestTime {
    RequestTime {
        left: 10 * WORK,
        may_run_once: false,
        is_nested: true,
    }
}

fn model(seed: u64) -> PlacingModel {
    let own = [(OWN_ZONE, 0.7), (OWN_ZONE, 1.0), (OWN_ZONE, 1.3)];
    let other = [(OTHER_ZONE, 1.0); 6];
    let listed = [own.as_slice(), other.as_slice()].concat();
    PlacingModel::new(seed, SENDERS, &listed, LEAVE_COST)
}

/// Requests per second that the instances of the own zone can run.
fn own_capacity() -> f64 {
    let slots = f64::from(OWN_INSTANCES) * f64::from(u32::try_from(SLOTS).unwrap());
    slots / WORK.as_secs_f64()
}

/// Plays `load` in multiples of the own zone's capacity, and returns the part that left the zone.
fn play(model: &mut PlacingModel, load: f64, time: Duration) -> f64 {
    let (mut left, mut all) = (0.0, 0.0);
    model.play(load * own_capacity(), time, usual_time, |_, placement| {
        all += 1.0;
        left += f64::from(u8::from(placement.reason != ZoneReason::OwnZone));
    });
    left / all
}

#[rstest]
fn nothing_leaves_a_zone_that_has_room(#[values(1, 2, 3)] seed: u64) {
    let mut model = model(seed);
    assert!(play(&mut model, 0.7, 2 * SETTLE_TIME) <= 0.0);
}

/// A part of 0.3 / 1.3 of the load is more than the own zone can run; a tenth of its slots is kept
/// free besides.
#[rstest]
fn a_crowded_zone_sends_what_it_cannot_run_and_no_more(#[values(1, 2, 3)] seed: u64) {
    let mut model = model(seed);
    play(&mut model, 0.7, SETTLE_TIME);
    play(&mut model, 1.3, SETTLE_TIME);
    let refused = model.refused;
    let part = play(&mut model, 1.3, SETTLE_TIME);
    assert!((0.2..0.45).contains(&part), "{part}");
    let latencies = &model.latencies[model.latencies.len() / 2..];
    let late = latencies.iter().filter(|latency| **latency > 5 * WORK);
    let late = late.count();
    assert!(
        late * 100 < latencies.len(),
        "{late} of {}",
        latencies.len()
    );
    assert_eq!(model.refused, refused);
    play(&mut model, 0.6, SETTLE_TIME);
    let part = play(&mut model, 0.6, SETTLE_TIME);
    assert!(part < 0.02, "{part}");
}

#[rstest]
fn the_share_of_a_steady_load_does_not_swing(#[values(1, 2, 3)] seed: u64) {
    let mut model = model(seed);
    play(&mut model, 1.3, 2 * SETTLE_TIME);
    let mut shares = Vec::new();
    for _ in 0..20 {
        play(&mut model, 1.3, Duration::from_millis(500));
        shares.push(model.mean_share());
    }
    let lowest = shares.iter().copied().fold(1.0, f64::min);
    let highest = shares.iter().copied().fold(0.0, f64::max);
    assert!(highest - lowest < 0.2, "{shares:?}");
}

/// Steps the share under an unchanging balance for twice [`SETTLE_TIME`].
fn settled(share: &mut ZoneShare, now: &mut Instant, balance: ZoneBalance) -> f64 {
    let end = *now + 2 * SETTLE_TIME;
    while *now < end {
        *now += STEP;
        share.step(*now, &balance, LEAVE_COST);
    }
    share.share()
}

const CROWDED: ZoneBalance = ZoneBalance {
    own_load: 1.0,
    other_load: Some(0.4),
    own_seconds: 0.2,
    other_seconds: 0.1,
};

#[rstest]
#[case::crowded(CROWDED, true)]
#[case::other_zone_busy_with_its_own_callers(
    ZoneBalance { other_load: Some(0.85), ..CROWDED }, false
)]
#[case::no_other_zone(ZoneBalance { other_load: None, ..CROWDED }, false)]
#[case::narrow_link(ZoneBalance { other_seconds: 0.5, ..CROWDED }, false)]
#[case::saves_less_than_it_costs(ZoneBalance { other_seconds: 0.197, ..CROWDED }, false)]
#[case::room_in_the_own_zone(ZoneBalance { own_load: 0.85, ..CROWDED }, false)]
fn a_share_leaves_only_where_it_pays(#[case] balance: ZoneBalance, #[case] leaves: bool) {
    let mut now = Instant::now();
    let mut share = ZoneShare::new(now);
    assert_eq!(settled(&mut share, &mut now, balance) > 0.0, leaves);
}

#[rstest]
#[case::own_zone_idle(ZoneBalance { own_load: 0.3, ..CROWDED })]
#[case::other_zone_full(ZoneBalance { other_load: Some(1.1), ..CROWDED })]
#[case::other_zone_lost(ZoneBalance { other_load: None, ..CROWDED })]
fn a_share_returns_when_it_no_longer_pays(#[case] balance: ZoneBalance) {
    let mut now = Instant::now();
    let mut share = ZoneShare::new(now);
    let mild = ZoneBalance {
        own_load: 0.95,
        ..CROWDED
    };
    assert!(settled(&mut share, &mut now, mild) > 0.3);
    assert!(share.take_change().is_some());
    assert!(settled(&mut share, &mut now, balance) <= 0.0);
    assert_eq!(share.take_change(), Some(0.0));
    assert_eq!(share.take_change(), None);
}
