//! Readiness of a new process: the replies and policies that it waits for, and the bounds on its
//! waits.

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
const MILLISECOND: Duration = Duration::from_millis(1);

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
    offered.expect("an empty policy set must accept a record");
    policies
}

/// Control of a node that has asked the platform and two peers; the highest offer is revision 7.
fn control_after_replies(now: Instant) -> ReadinessControl {
    let mut control = ReadinessControl::starting(SERVICE.into(), now);
    control.mark_platform_asked();
    control.mark_peer_asked(&"one".into());
    control.record_offer(&SERVICE.into(), 7);
    control.record_offer(&SERVICE.into(), 3);
    control.mark_peer_asked(&"two".into());
    control
}

/// A fleet with `peers` other nodes in which every called service is known.
const fn known_fleet(peers: usize) -> KnownFleet {
    KnownFleet {
        peers,
        callees_known: true,
    }
}

#[test]
fn a_node_waits_for_the_highest_reachable_revision() {
    let now = Instant::now();
    let mut control = control_after_replies(now);
    assert_eq!(
        control.evaluate(now, &policies(6), known_fleet(2)),
        ReadinessState::Starting
    );
    assert_eq!(
        control.evaluate(now, &policies(7), known_fleet(2)),
        ReadinessState::Ready
    );
    assert_eq!(
        control.evaluate(now, &PolicySet::default(), known_fleet(2)),
        ReadinessState::Ready
    );
}

#[test]
fn the_wait_for_a_revision_is_bounded() {
    let now = Instant::now();
    let mut control = control_after_replies(now);
    let last = now + READINESS_WAIT_MAX - MILLISECOND;
    assert_eq!(
        control.evaluate(last, &policies(6), known_fleet(2)),
        ReadinessState::Starting
    );
    assert_eq!(
        control.evaluate(last + MILLISECOND, &policies(6), known_fleet(2)),
        ReadinessState::Ready
    );
}

#[test]
fn a_node_waits_for_the_platform_and_enough_peers() {
    let now = Instant::now();
    let mut control = ReadinessControl::starting(SERVICE.into(), now);
    assert_eq!(
        control.evaluate(now, &policies(7), known_fleet(0)),
        ReadinessState::Starting
    );
    control.mark_platform_asked();
    assert_eq!(
        control.evaluate(now, &policies(7), known_fleet(1)),
        ReadinessState::Starting
    );
    assert_eq!(
        control.evaluate(now, &policies(7), known_fleet(0)),
        ReadinessState::Ready
    );
}

#[test]
fn an_unusable_offer_does_not_delay_readiness() {
    let now = Instant::now();
    let mut control = control_after_replies(now);
    control.drop_offer(SERVICE);
    assert_eq!(
        control.evaluate(now, &policies(6), known_fleet(2)),
        ReadinessState::Ready
    );
}

#[test]
fn a_node_without_known_callees_serves_after_a_bounded_wait() {
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
