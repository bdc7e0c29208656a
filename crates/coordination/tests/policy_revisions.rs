//! Property tests: for any order of offers, exchanges, failures and restarts, no process lowers the
//! revision that it has in force or changes the content of that revision.

#[path = "support/fleet.rs"]
mod fleet;

use fleet::FakeFleet;
use lagoonshore_state::ids::{ContentHash, PolicyRevision};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};
use std::time::Duration;

const SERVICE: &str = "orderdesk";
const NODES: usize = 5;
const SEED: u64 = 20;
const CASES: u32 = 256;

#[derive(Clone, Debug)]
enum FleetStep {
    Publish(PolicyRevision, u8),
    Run(u8),
    Exchange(usize, usize),
    Restart(usize),
    Pause(usize, bool),
    Platform(bool),
    KeepCopy,
    Stale(bool),
    Partition(bool),
}

fn step() -> impl Strategy<Value = FleetStep> {
    prop_oneof![
        (1..8_u64, 0..3_u8).prop_map(|(revision, text)| FleetStep::Publish(revision, text)),
        (1..100_u8).prop_map(FleetStep::Run),
        (0..NODES, 0..NODES).prop_map(|(node, peer)| FleetStep::Exchange(node, peer)),
        (0..NODES).prop_map(FleetStep::Restart),
        (0..NODES, any::<bool>()).prop_map(|(node, paused)| FleetStep::Pause(node, paused)),
        any::<bool>().prop_map(FleetStep::Platform),
        Just(FleetStep::KeepCopy),
        any::<bool>().prop_map(FleetStep::Stale),
        any::<bool>().prop_map(FleetStep::Partition),
    ]
}

fn new_fleet() -> FakeFleet {
    let mut fleet = FakeFleet::new(SEED);
    for (number, zone) in ["a", "a", "b", "b", "c"].into_iter().enumerate() {
        fleet.add(SERVICE, zone, number);
    }
    fleet
}

fn apply(fleet: &mut FakeFleet, step: &FleetStep) {
    match *step {
        FleetStep::Publish(revision, text) => fleet.publish(SERVICE, revision, &text.to_string()),
        FleetStep::Run(ticks) => fleet.run(fleet::TICK * u32::from(ticks)),
        FleetStep::Exchange(node, peer) => {
            if node != peer && fleet.can_reach(node, peer) {
                fleet.exchange(node, peer);
            }
        }
        FleetStep::Restart(node) => fleet.restart(node),
        FleetStep::Pause(node, paused) => fleet.nodes[node].paused = paused,
        FleetStep::Platform(up) => fleet.platform.up = up,
        FleetStep::KeepCopy => {
            let copy = fleet.platform.clone();
            fleet.platform.older = Some(Box::new(copy));
        }
        FleetStep::Stale(stale) => fleet.platform.is_stale = stale,
        FleetStep::Partition(true) => drop(fleet.partitions.insert(("a".into(), "b".into()))),
        FleetStep::Partition(false) => fleet.partitions.clear(),
    }
}

fn versions_in_force(fleet: &FakeFleet) -> Vec<Option<(PolicyRevision, ContentHash)>> {
    let version = |node: &fleet::FakeNode| {
        let entry = node.policies.get(SERVICE)?;
        Some((entry.policy.revision, entry.content))
    };
    fleet.nodes.iter().map(version).collect()
}

fn check(steps: &[FleetStep]) -> Result<(), TestCaseError> {
    let mut fleet = new_fleet();
    for step in steps {
        let mut before = versions_in_force(&fleet);
        if let FleetStep::Restart(node) = step {
            before[*node] = None;
        }
        apply(&mut fleet, step);
        for (before, after) in before.iter().zip(versions_in_force(&fleet)) {
            let Some((revision, content)) = *before else {
                continue;
            };
            let Some(after) = after else {
                return Err(TestCaseError::fail("a policy in force disappeared"));
            };
            prop_assert!(
                after.0 >= revision,
                "{step:?} lowered {revision} to {}",
                after.0
            );
            prop_assert!(
                after.0 > revision || after.1 == content,
                "{step:?} changed {revision}"
            );
        }
    }
    Ok(())
}

/// Ends all simulated failures, after which the nodes must converge on the highest revision.
fn check_convergence(steps: &[FleetStep]) -> Result<(), TestCaseError> {
    let mut fleet = new_fleet();
    for step in steps {
        apply(&mut fleet, step);
    }
    fleet.partitions.clear();
    fleet.platform.up = true;
    fleet.platform.is_stale = false;
    for node in &mut fleet.nodes {
        node.paused = false;
    }
    fleet.publish(SERVICE, 9, "last");
    fleet.run(Duration::from_secs(11));
    let revisions: Vec<_> = fleet
        .nodes
        .iter()
        .map(|node| node.revision(SERVICE))
        .collect();
    prop_assert_eq!(revisions, vec![9; NODES]);
    Ok(())
}

fn run(check: fn(&[FleetStep]) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), 1..40);
    let outcome = TestRunner::new(config).run(&steps, |steps| check(&steps));
    outcome.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn no_order_of_events_lowers_a_revision_in_force() {
    run(check);
}

#[test]
fn after_any_failures_a_change_is_everywhere_within_eleven_seconds() {
    run(check_convergence);
}
