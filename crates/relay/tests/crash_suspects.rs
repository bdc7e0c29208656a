//! Requests that are in progress when upstreams crash: which of them run again, and where.

mod support;

use lagoonshore_coordination::protection::{
    crash_set::{CrashId, CrashReport},
    fingerprint::RequestFingerprint,
    suspects::{QUARANTINE_TIME, SuspectReport},
};
use lagoonshore_relay::suspect_tracker::{self, SuspectStatus};
use lagoonshore_state::units::whole_millis;
use std::time::Duration;
use support::{CallerResponse, TestFleet, ask, route, until};

const SERVICE: &str = "a";
/// Time in which an upstream gets all requests that are sent to it at once.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// Four upstreams of one service in one zone.
async fn one_service() -> TestFleet {
    let fleet = TestFleet::start(&[(SERVICE, "z1"); 4]).await;
    let routes = [route("/a/", SERVICE, true), route("/once/", SERVICE, false)];
    fleet.publish(1, &routes);
    fleet
}

/// Sends a request without a body to the node of one member.
async fn send(fleet: &TestFleet, member: usize, path: &str, id: &str) -> CallerResponse {
    ask(fleet.members[member].listen.callers, "GET", path, id, "").await
}

fn fingerprint_of(path: &str) -> RequestFingerprint {
    suspect_tracker::fingerprint_of(&SERVICE.into(), "GET", path, b"")
}

/// Number of requests for `path` that reached any upstream.
fn arrivals(fleet: &TestFleet, path: &str) -> usize {
    let members = fleet.members.iter();
    let count = |member: &support::FleetMember| {
        let seen = member.upstream.seen.borrow();
        seen.iter().filter(|seen| seen.target == path).count()
    };
    members.map(count).sum()
}

/// Starts all crashed upstreams again and waits until their nodes know.
async fn restart_all(fleet: &TestFleet) {
    for member in &fleet.members {
        if !member.upstream.is_up() {
            member.upstream.restart().await;
        }
    }
    let is_up = |member: &support::FleetMember| !member.node.server.is_upstream_down();
    until(|| fleet.members.iter().all(is_up)).await;
}

async fn until_quarantined_at_all(fleet: &TestFleet, path: &str) {
    let is_quarantined = |member: &support::FleetMember| {
        let status = member.node.server.suspects().status(fingerprint_of(path));
        matches!(status, SuspectStatus::Quarantined(_))
    };
    until(|| fleet.members.iter().all(is_quarantined)).await;
}

/// Guards against one crash that quarantines a call because several copies of it were in progress.
#[actix_rt::test]
async fn one_crash_does_not_quarantine_a_call_with_several_copies_in_progress() {
    const COPIES: usize = 6;
    const PATH: &str = "/b/slow";
    let fleet = TestFleet::start(&[(SERVICE, "z1"), ("b", "z1")]).await;
    fleet.publish(1, &[route("/b/", "b", true)]);
    let crashing = &fleet.members[1].upstream;
    let copies = (0..COPIES).map(|copy| {
        let id = format!("copy{copy}");
        let fleet = &fleet;
        async move { send(fleet, 0, PATH, &id).await.status }
    });
    let crash = async {
        until(|| crashing.ids().len() == COPIES).await;
        crashing.crash().await;
    };
    let (statuses, ()) = futures::join!(futures::future::join_all(copies), crash);
    assert_eq!(statuses, vec![502; COPIES]);
    restart_all(&fleet).await;
    let response = send(&fleet, 0, PATH, "again").await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// Guards against a sender that passes on a request whose crashes it knows of, and against crashes at
/// different nodes that count as one.
#[actix_rt::test]
async fn a_request_that_may_run_once_crashes_three_upstreams_at_most() {
    const PATH: &str = "/once/crash";
    let fleet = one_service().await;
    let mut statuses = Vec::new();
    for id in ["r0", "r1", "r2", "r3", "r4"] {
        statuses.push(send(&fleet, 0, PATH, id).await.status);
    }
    assert_eq!(statuses, [502, 502, 502, 503, 503]);
    assert_eq!(arrivals(&fleet, PATH), 3);
    until_quarantined_at_all(&fleet, PATH).await;
    restart_all(&fleet).await;
    let response = send(&fleet, 3, PATH, "other").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.fields.contains("quarantined"), "{response:?}");
    assert_eq!(arrivals(&fleet, PATH), 3);
}

#[actix_rt::test]
async fn an_idempotent_request_crashes_three_upstreams_at_most() {
    const PATH: &str = "/a/crash";
    let fleet = one_service().await;
    for id in ["r0", "r1", "r2"] {
        send(&fleet, 0, PATH, id).await;
    }
    assert_eq!(arrivals(&fleet, PATH), 3);
}

/// Guards against the quarantine of a request that runs well: it meets three crashes that another one
/// causes, and has run before.
#[actix_rt::test]
async fn a_request_that_has_run_well_elsewhere_is_not_quarantined_by_crashes_beside_it() {
    const PATH: &str = "/a/slow";
    let fleet = one_service().await;
    let warm_up = (0..16).map(|index| {
        let (fleet, id) = (&fleet, format!("w{index}"));
        async move { send(fleet, index % 4, PATH, &id).await.status }
    });
    let statuses = futures::future::join_all(warm_up).await;
    assert_eq!(statuses, vec![200; 16]);
    for crash in 0..3 {
        let beside = (0..8).map(|index| {
            let (fleet, id) = (&fleet, format!("c{crash}n{index}"));
            async move { send(fleet, 0, PATH, &id).await }
        });
        let poison = async {
            actix_rt::time::sleep(ARRIVAL_TIME).await;
            send(&fleet, 0, "/once/crash", &format!("p{crash}")).await
        };
        futures::join!(futures::future::join_all(beside), poison);
    }
    assert_eq!(arrivals(&fleet, "/once/crash"), 3);
    restart_all(&fleet).await;
    for member in 0..4 {
        let response = send(&fleet, member, PATH, &format!("after{member}")).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Guards against a sender that gives up after one instance has refused a request as quarantined.
#[actix_rt::test]
async fn a_request_that_one_node_quarantines_runs_at_others_that_have_run_it() {
    const PATH: &str = "/a/ok";
    let fleet = one_service().await;
    let runs = (0..32).map(|index| {
        let (fleet, id) = (&fleet, format!("w{index}"));
        async move { send(fleet, index % 4, PATH, &id).await.status }
    });
    assert_eq!(futures::future::join_all(runs).await, vec![200; 32]);
    let fresh = TestFleet::start(&[(SERVICE, "z1")]).await;
    let quarantined = fresh.members[0].node.server.suspects();
    quarantined.merge(&[three_crashes(PATH, Duration::ZERO)]);
    let status = quarantined.status(fingerprint_of(PATH));
    assert!(
        matches!(status, SuspectStatus::Quarantined(_)),
        "{status:?}"
    );
    let sender = fleet.members[0].node.server.suspects();
    sender.merge(&quarantined.reports());
    for index in 0..8 {
        let response = send(&fleet, 0, PATH, &format!("r{index}")).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Three crashes during a request, `age` ago.
fn three_crashes(path: &str, age: Duration) -> SuspectReport {
    let crash = |number| CrashReport {
        id: CrashId {
            instance: 1,
            number: Some(number),
        },
        age_ms: whole_millis(age),
        is_cleared: false,
    };
    SuspectReport {
        fingerprint: fingerprint_of(path),
        crashes: (1..=3).map(crash).collect(),
    }
}

/// Quarantines a request at all nodes by crashes that are so old that the quarantine is over.
fn quarantine_long_ago(fleet: &TestFleet, path: &str) {
    let report = three_crashes(path, QUARANTINE_TIME + Duration::from_secs(1));
    for member in &fleet.members {
        let suspects = member.node.server.suspects();
        suspects.merge(std::slice::from_ref(&report));
    }
}

/// Guards against a quarantine that lasts until its entry is forgotten, and against one that ends at
/// all instances at once.
#[actix_rt::test]
async fn after_its_quarantine_a_request_crashes_one_upstream_of_the_fleet() {
    const PATH: &str = "/once/crash";
    let fleet = one_service().await;
    quarantine_long_ago(&fleet, PATH);
    let sending = (0..8).map(|index| {
        let (fleet, id) = (&fleet, format!("r{index}"));
        async move { send(fleet, index % 4, PATH, &id).await.status }
    });
    let statuses = futures::future::join_all(sending).await;
    assert_eq!(arrivals(&fleet, PATH), 1);
    let lost = statuses.iter().filter(|status| **status == 502).count();
    assert_eq!(lost, 1, "{statuses:?}");
    until_quarantined_at_all(&fleet, PATH).await;
}

#[actix_rt::test]
async fn after_its_quarantine_a_request_that_runs_well_is_cleared_everywhere() {
    const PATH: &str = "/a/ok";
    let fleet = one_service().await;
    quarantine_long_ago(&fleet, PATH);
    let response = send(&fleet, 0, PATH, "first").await;
    assert_eq!(response.status, 200, "{response:?}");
    let is_clear = |member: &support::FleetMember| {
        let status = member.node.server.suspects().status(fingerprint_of(PATH));
        status == SuspectStatus::Clear
    };
    until(|| fleet.members.iter().all(is_clear)).await;
}
