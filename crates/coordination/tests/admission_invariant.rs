//! Property test of admission control over random sequences of events, with a fixed seed: no
//! request is refused for overload while a less important one is admitted after it or stays queued.

mod support;

use lagoonshore_coordination::admission::admission_control::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, QueueChange,
};
use lagoonshore_state::{
    ids::LaneName,
    policy::LanePolicy,
    service_cost::ServiceSample,
    units::{RequestImportance, SlotCount},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::time::Duration;
use support::overload_checker::OverloadChecker;
use tokio::time::Instant;

const SEQUENCES: u32 = 300;
const SEED: [u8; 32] = [17; 32];

#[derive(Clone, Debug)]
enum AdmissionEvent {
    Offer {
        importance: u8,
        caller: u64,
        is_long: bool,
        millis: u64,
    },
    Finish(u64),
    Wait(u64),
    SlowStart,
}

fn event_strategy() -> impl Strategy<Value = AdmissionEvent> {
    let offer = (0..6_u8, 0..2000_u64, any::<bool>(), 1..1500_u64);
    let offer = offer.prop_map(
        |(importance, caller, is_long, millis)| AdmissionEvent::Offer {
            importance,
            caller,
            is_long,
            millis,
        },
    );
    prop_oneof![
        12 => offer,
        3 => (1..400_u64).prop_map(AdmissionEvent::Finish),
        3 => (0..80_u64).prop_map(AdmissionEvent::Wait),
        1 => Just(AdmissionEvent::SlowStart),
    ]
}

/// Runs a sequence of events; returns the number of requests refused for overload.
fn run_events(events: &[AdmissionEvent]) -> u32 {
    let mut control = AdmissionControl::new(SlotCount(4));
    let lane = LanePolicy {
        name: "long".into(),
        share: 0.5,
    };
    control.configure(SlotCount(4), &[lane]);
    let mut checker = OverloadChecker::default();
    let mut now = Instant::now();
    let mut running: Vec<LaneName> = Vec::new();
    for event in events {
        match event {
            AdmissionEvent::Offer {
                importance,
                caller,
                is_long,
                millis,
            } => {
                let request = AdmissionRequest {
                    importance: RequestImportance(*importance),
                    class: "work".into(),
                    caller: *caller,
                    lane: if *is_long { "long" } else { "short" }.into(),
                    timeout: Duration::from_secs(2),
                    deadline: now + Duration::from_millis(*millis),
                };
                let mut change = QueueChange::default();
                let decision = control.offer(now, request.clone(), &mut change);
                checker.check_offer(now, &request, decision, &change);
                running.extend(change.admitted.into_iter().map(|entry| entry.lane));
                if decision == AdmissionDecision::Admitted {
                    running.push(request.lane);
                }
            }
            AdmissionEvent::Finish(millis) => {
                let Some(lane) = running.pop() else { continue };
                let time = Duration::from_millis(*millis);
                let sample = ServiceSample {
                    total: time,
                    own: time,
                    succeeded: true,
                };
                control.record(now, &"work".into(), &lane, sample);
                let change = control.release(now, &lane);
                checker.check_release(now, &change);
                running.extend(change.admitted.into_iter().map(|entry| entry.lane));
            }
            AdmissionEvent::Wait(millis) => now += Duration::from_millis(*millis),
            AdmissionEvent::SlowStart => control.slow_start(),
        }
    }
    checker.refusals
}

#[test]
fn no_request_is_refused_for_overload_before_a_less_important_one() {
    let config = Config {
        cases: SEQUENCES,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, random);
    let refusals = std::cell::Cell::new(0);
    let sequences = prop::collection::vec(event_strategy(), 1..200);
    runner
        .run(&sequences, |events| {
            refusals.set(refusals.get() + run_events(&events));
            Ok(())
        })
        .unwrap_or_else(|failure| panic!("{failure}"));
    assert!(refusals.get() > 1000, "{} refusals", refusals.get());
}
