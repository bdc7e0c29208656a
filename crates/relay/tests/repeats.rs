//! Requests that are sent again, or not, over real sockets.

mod support;

use lagoonshore_state::instance_table::InstanceState;
use rstest::rstest;
use std::time::Duration;
use support::{TestFleet, ask, route, two_zones, until};

#[actix_rt::test]
async fn a_request_that_may_run_once_is_sent_once() {
    let fleet = two_zones().await;
    for path in ["/once/drop", "/once/cut", "/once/fail", "/once/unsigned"] {
        fleet.ask("POST", path, path).await;
    }
    let members = fleet.members.iter();
    let ids: Vec<String> = members.flat_map(|member| member.upstream.ids()).collect();
    assert_eq!(
        ids,
        vec!["/once/drop", "/once/cut", "/once/fail", "/once/unsigned"]
    );
}

#[actix_rt::test]
async fn an_idempotent_request_goes_to_another_upstream_after_a_lost_answer() {
    let fleet = two_zones().await;
    let answer = fleet.ask("GET", "/a/drop", "i1").await;
    assert_eq!(answer.status, 502);
    assert_eq!(fleet.members[0].upstream.ids(), vec!["i1"]);
    assert_eq!(fleet.members[1].upstream.ids(), vec!["i1"]);
}

/// The first upstream fails the request, and the second has no answer by the deadline.
#[actix_rt::test]
async fn a_failure_that_an_upstream_answered_is_passed_on_at_the_deadline() {
    let fleet = two_zones().await;
    fleet.members[0].upstream.act.set(Some("fail"));
    fleet.members[1].upstream.act.set(Some("never"));
    let mut short = route("/a/", "a", true);
    short.timeout = Duration::from_millis(300);
    fleet.publish(2, &[short]);
    let answer = fleet.ask("GET", "/a/x", "i1").await;
    assert_eq!(answer.status, 500, "{answer:?}");
    assert!(answer.fields.contains("Signature: s"), "{answer:?}");
    assert_eq!(fleet.members[1].upstream.ids(), vec!["i1"]);
}

#[rstest]
#[case::some(2, 200, 3)]
#[case::all(100, 503, 7)]
#[actix_rt::test]
async fn an_upstream_that_turns_requests_away_is_asked_again(
    #[case] sheds: u32,
    #[case] status: u16,
    #[case] arrivals: usize,
) {
    let fleet = two_zones().await;
    fleet.members[2].upstream.sheds.set(sheds);
    let door = fleet.members[0].listen.callers;
    let answer = ask(door, "POST", "/b-once/ok", "i1", "").await;
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(fleet.members[2].upstream.ids(), vec!["i1"; arrivals]);
}

/// Runs fail because a service that they call has no instance. Further ones of their kind are refused
/// before they run, and others are not.
#[actix_rt::test]
async fn requests_whose_calls_reach_nobody_are_refused_before_they_run() {
    const RUNS: usize = 15;
    const SLOTS: u32 = 100;
    let mut fleet = TestFleet::start(&[("a", "z1"), ("b", "z1")]).await;
    fleet.members[0].upstream.slots = SLOTS;
    fleet.list(0, InstanceState::Live);
    until(|| fleet.members[0].node.server.node_status().limit > SLOTS / 2).await;
    let routes = [
        route("/once/", "a", false),
        route("/other/", "a", false),
        route("/gone/", "gone", true),
    ];
    fleet.publish(2, &routes);
    let door = fleet.members[0].listen.callers;
    let run = |index: usize| async move {
        let id = format!("p{index}");
        let running = ask(door, "POST", "/once/slow-fail", &id, "");
        let call = async {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            ask(door, "GET", "/gone/x", &format!("{id}.c"), "").await
        };
        futures::join!(running, call)
    };
    for (parent, call) in futures::future::join_all((0..RUNS).map(run)).await {
        assert_eq!(
            (parent.status, call.status),
            (500, 503),
            "{parent:?}, {call:?}"
        );
    }
    let refused = ask(door, "POST", "/once/ok", "p-next", "").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.fields.contains("Retry-After: "), "{refused:?}");
    assert_eq!(fleet.members[0].upstream.ids().len(), RUNS);
    let other = ask(door, "POST", "/other/ok", "p-other", "").await;
    assert_eq!(other.status, 200, "{other:?}");
}

/// The failed run made a call, and what failed there was tried again there.
#[actix_rt::test]
async fn a_run_that_failed_for_a_call_is_not_repeated() {
    let fleet = two_zones().await;
    let door = fleet.members[0].listen.callers;
    let running = ask(door, "GET", "/a/slow-fail", "p", "");
    let call = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        ask(door, "GET", "/b/fail", "p.c", "").await
    };
    let (parent, call) = futures::join!(running, call);
    assert_eq!((parent.status, call.status), (500, 500));
    assert_eq!(fleet.members[0].upstream.ids(), vec!["p"]);
    assert_eq!(fleet.members[1].upstream.ids().len(), 0, "no repeat");
}
