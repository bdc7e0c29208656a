//! When a new process may serve.

use lagoonshore_coordination::lifecycle::readiness::{
    CALLEES_WAIT_MAX, KnownFleet, READINESS_WAIT_MAX, ReadinessControl, ReadinessState,
};
use lagoonshore_state::{
    ids::PolicyRevision,
    policy::{RetryPolicy, ServicePolicy},
    policy_set::{PolicySet, PolicySource},
    units::{SlotCount, TokenCount},
};
use std::time::Duration;
use tokio::time::Instant;

const SERVICE: &str = "kitchen-board";
const MOMENT: Duration = Duration::from_millis(1);

fn policies(revision: PolicyRevision) -> PolicySet {
    let policy = ServicePolicy {
        service: SERVICE.into(),
        revision,
        slots: SlotCount(1),
        connections: 1,
        calls: Vec::new(),
        retries: RetryPolicy {
            per_request: TokenCount(0),
            ratio: 0.0,
        },
        lanes: Vec::new(),
        classes: Vec::new(),
    };
    let mut policies = PolicySet::default();
    let offered = policies.offer(policy, &revision.to_be_bytes(), PolicySource::Platform);
    offered.expect("a first record");
    policies
}

/// A process that asked the platform and both of its peers, one of which offers revision 7.
fn asked(now: Instant) -> ReadinessControl {
    let mut control = ReadinessControl::starting(SERVICE.into(), now);
    control.mark_platform_asked();
    control.mark_peer_asked(&"one".into());
    control.record_offer(&SERVICE.into(), 7);
    control.record_offer(&SERVICE.into(), 3);
    control.mark_peer_asked(&"two".into());
    control
}

/// A fleet of which `peers` other nodes and every called service are known.
const fn known(peers: usize) -> KnownFleet {
    KnownFleet {
        peers,
        callees_known: true,
    }
}

#[test]
fn it_waits_for_the_highest_revision_within_reach() {
    let now = Instant::now();
    let mut control = asked(now);
    assert_eq!(
        control.evaluate(now, &policies(6), known(2)),
        ReadinessState::Starting
    );
    assert_eq!(
        control.evaluate(now, &policies(7), known(2)),
        ReadinessState::Ready
    );
    assert_eq!(
        control.evaluate(now, &PolicySet::default(), known(2)),
        ReadinessState::Ready
    );
}

#[test]
fn its_wait_is_bounded() {
    let now = Instant::now();
    let mut control = asked(now);
    let last = now + READINESS_WAIT_MAX - MOMENT;
    assert_eq!(
        control.evaluate(last, &policies(6), known(2)),
        ReadinessState::Starting
    );
    assert_eq!(
        control.evaluate(last + MOMENT, &policies(6), known(2)),
        ReadinessState::Ready
    );
}

#[test]
fn it_waits_for_the_platform_and_enough_peers() {
    let now = Instant::now();
    let mut control = ReadinessControl::starting(SERVICE.into(), now);
    assert_eq!(
        control.evaluate(now, &policies(7), known(0)),
        ReadinessState::Starting
    );
    control.mark_platform_asked();
    assert_eq!(
        control.evaluate(now, &policies(7), known(1)),
        ReadinessState::Starting
    );
    assert_eq!(
        control.evaluate(now, &policies(7), known(0)),
        ReadinessState::Ready
    );
}

#[test]
fn an_offer_that_cannot_be_taken_in_does_not_hold_it_up() {
    let now = Instant::now();
    let mut control = asked(now);
    control.drop_offer(SERVICE);
    assert_eq!(
        control.evaluate(now, &policies(6), known(2)),
        ReadinessState::Ready
    );
}

#[test]
fn a_node_that_knows_nobody_it_calls_waits_and_then_serves_what_it_can() {
    let now = Instant::now();
    let mut control = ReadinessControl::starting("medication-log".into(), now);
    control.mark_platform_asked();
    let alone = KnownFleet {
        peers: 0,
        callees_known: false,
    };
    let early = control.evaluate(now, &policies(7), alone);
    assert_eq!(early, ReadinessState::Starting);
    let early = control.evaluate(now + READINESS_WAIT_MAX, &policies(7), alone);
    assert_eq!(early, ReadinessState::Starting);
    let late = control.evaluate(now + CALLEES_WAIT_MAX, &policies(7), alone);
    assert_eq!(late, ReadinessState::Ready);
}
