//! When callers that a route refused are told to come back.

use lagoonshore_coordination::forwarding::{
    return_schedule::ReturnSchedule, route_limiter::RouteLimiter,
};
use rstest::rstest;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

const TICK: Duration = Duration::from_millis(10);
const LIMIT: u32 = 20;
const RUN_TIME: Duration = Duration::from_millis(200);
const AIM: Duration = Duration::from_millis(1500);
const USUAL_DEMAND: f64 = 0.7;
const SURGE_DEMAND: f64 = 1.8;
const SURGE_START: usize = 200;
const ARRIVALS_END: usize = 800;
/// Time after which all refused callers come back where none is told its own.
const FIXED_WAIT: Duration = Duration::from_millis(250);

#[test]
fn each_refused_caller_gets_a_time_of_its_own() {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    let waits: Vec<Duration> = (0..20)
        .map(|_| schedule.promise(now, f64::from(LIMIT), RUN_TIME, AIM))
        .collect();
    let interval = RUN_TIME / (LIMIT / 2);
    assert!(
        waits.windows(2).all(|pair| pair[1] - pair[0] == interval),
        "{waits:?}"
    );
}

#[test]
fn room_is_kept_only_while_returns_are_due() {
    let start = Instant::now();
    let mut schedule = ReturnSchedule::default();
    let wait = schedule.promise(start, f64::from(LIMIT), RUN_TIME, AIM);
    let due = start + wait;
    assert_eq!(schedule.expected(due), 1);
    assert_eq!(schedule.expected(due + Duration::from_millis(200)), 0);
    let wait = schedule.promise(due, f64::from(LIMIT), RUN_TIME, AIM);
    schedule.record_return(due + wait);
    assert_eq!(schedule.expected(due + wait), 0);
}

#[test]
fn no_caller_is_told_to_come_back_when_its_target_cannot_be_met() {
    let now = Instant::now();
    let mut schedule = ReturnSchedule::default();
    for _ in 0..1000 {
        let wait = schedule.promise(now, f64::from(LIMIT), RUN_TIME, AIM);
        assert!(wait + RUN_TIME <= AIM, "{wait:?}");
    }
    assert!(schedule.expected(now + AIM) < 100);
}

#[derive(Clone, Copy, Debug, Default)]
struct CallerCounts {
    admitted: u32,
    refused_again: u32,
}

#[derive(Default)]
struct RouteModel {
    limiter: RouteLimiter,
    ends: BTreeMap<Instant, u32>,
    returns: BTreeMap<Instant, u32>,
    is_scheduled: bool,
    counts: CallerCounts,
}

impl RouteModel {
    fn send(&mut self, now: Instant, is_returning: bool) {
        match self.limiter.try_acquire(now, 1, LIMIT, is_returning, AIM) {
            Ok(()) => {
                self.counts.admitted += 1;
                *self.ends.entry(now + RUN_TIME).or_default() += 1;
            }
            Err(_) if is_returning => self.counts.refused_again += 1,
            Err(wait) => {
                let wait = if self.is_scheduled { wait } else { FIXED_WAIT };
                *self.returns.entry(now + wait).or_default() += 1;
            }
        }
    }

    fn advance(&mut self, now: Instant) {
        for _ in 0..take_until(&mut self.ends, now) {
            self.limiter.release(1, RUN_TIME);
        }
        for _ in 0..take_until(&mut self.returns, now) {
            self.send(now, true);
        }
    }
}

fn take_until(times: &mut BTreeMap<Instant, u32>, now: Instant) -> u32 {
    let mut taken = 0;
    while let Some(first) = times.first_entry()
        && *first.key() <= now
    {
        taken += first.remove();
    }
    taken
}

fn play(surge_ticks: usize, is_scheduled: bool) -> CallerCounts {
    let start = Instant::now();
    let mut model = RouteModel {
        is_scheduled,
        ..RouteModel::default()
    };
    let mut demand = 0.0;
    for tick in 0..ARRIVALS_END + 300 {
        let now = start + TICK * u32::try_from(tick).expect("few ticks");
        model.advance(now);
        demand += match tick {
            _ if (SURGE_START..SURGE_START + surge_ticks).contains(&tick) => SURGE_DEMAND,
            _ if tick < ARRIVALS_END => USUAL_DEMAND,
            _ => 0.0,
        };
        while demand >= 1.0 {
            demand -= 1.0;
            model.send(now, false);
        }
    }
    model.counts
}

/// The load: for a while 1.8 times as many requests of a route arrive as may run. Callers that come back
/// one after the other find room that the surge leaves behind it.
#[rstest]
#[case::short_surge(100)]
#[case::long_surge(300)]
fn spread_returns_are_refused_less_often(#[case] surge_ticks: usize) {
    let (together, spread) = (play(surge_ticks, false), play(surge_ticks, true));
    assert!(together.refused_again > 20, "{together:?}");
    assert!(
        spread.refused_again < together.refused_again,
        "{spread:?} {together:?}"
    );
    assert!(
        spread.admitted > together.admitted,
        "{spread:?} {together:?}"
    );
}
