//! Retries, and requests that must not be retried, over real sockets.

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
async fn an_idempotent_request_is_retried_at_another_upstream_after_a_lost_response() {
    let fleet = two_zones().await;
    let response = fleet.ask("GET", "/a/drop", "i1").await;
    assert_eq!(response.status, 502);
    assert_eq!(fleet.members[0].upstream.ids(), vec!["i1"]);
    assert_eq!(fleet.members[1].upstream.ids(), vec!["i1"]);
}

/// Guards against losing an upstream's failure response when a retry runs into the deadline: the
/// first upstream fails the request and the second never responds.
#[actix_rt::test]
async fn a_failure_response_of_an_upstream_is_passed_on_at_the_deadline() {
    let fleet = two_zones().await;
    fleet.members[0].upstream.behaviour.set(Some("fail"));
    fleet.members[1].upstream.behaviour.set(Some("never"));
    let mut short = route("/a/", "a", true);
    short.timeout = Duration::from_millis(300);
    fleet.publish(2, &[short]);
    let response = fleet.ask("GET", "/a/x", "i1").await;
    assert_eq!(response.status, 500, "{response:?}");
    assert!(response.fields.contains("Signature: s"), "{response:?}");
    assert_eq!(fleet.members[1].upstream.ids(), vec!["i1"]);
}

#[rstest]
#[case::some(2, 200, 3)]
#[case::all(100, 503, 7)]
#[actix_rt::test]
async fn an_upstream_that_rejects_requests_is_tried_again(
    #[case] sheds: u32,
    #[case] status: u16,
    #[case] arrivals: usize,
) {
    let fleet = two_zones().await;
    fleet.members[2].upstream.sheds.set(sheds);
    let callers = fleet.members[0].listen.callers;
    let response = ask(callers, "POST", "/b-once/ok", "i1", "").await;
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(fleet.members[2].upstream.ids(), vec!["i1"; arrivals]);
}

/// Guards against running requests whose nested calls cannot succeed: after a series of runs that
/// fail because the called service has no instance, further requests of the route are refused
/// before they run, and those of other routes are not.
#[actix_rt::test]
async fn requests_whose_calls_reach_no_instance_are_refused_before_they_run() {
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
    let callers = fleet.members[0].listen.callers;
    let run = |index: usize| async move {
        let id = format!("p{index}");
        let running = ask(callers, "POST", "/once/slow-fail", &id, "");
        let call = async {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            ask(callers, "GET", "/gone/x", &format!("{id}.c"), "").await
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
    let refused = ask(callers, "POST", "/once/ok", "p-next", "").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.fields.contains("Retry-After: "), "{refused:?}");
    assert_eq!(fleet.members[0].upstream.ids().len(), RUNS);
    let other = ask(callers, "POST", "/other/ok", "p-other", "").await;
    assert_eq!(other.status, 200, "{other:?}");
}

/// Guards against retries at two levels: the run failed because of a call that was already retried,
/// so the run is not retried itself.
#[actix_rt::test]
async fn a_run_that_failed_because_of_a_call_is_not_retried() {
    let fleet = two_zones().await;
    let callers = fleet.members[0].listen.callers;
    let running = ask(callers, "GET", "/a/slow-fail", "p", "");
    let call = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        ask(callers, "GET", "/b/fail", "p.c", "").await
    };
    let (parent, call) = futures::join!(running, call);
    assert_eq!((parent.status, call.status), (500, 500));
    assert_eq!(fleet.members[0].upstream.ids(), vec!["p"]);
    assert_eq!(fleet.members[1].upstream.ids().len(), 0, "no retry");
}

#[actix_rt::test]
async fn a_rejection_that_is_sent_once_more_does_not_make_a_request_run_twice() {
    let fleet = two_zones().await;
    let upstream = &fleet.members[2].upstream;
    upstream.repeats_refusals.set(true);
    upstream.sheds.set(1);
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(upstream.ids(), ["i1", "i1"], "one rejection and one run");
}

#[actix_rt::test]
async fn a_misdirection_that_is_sent_once_more_does_not_hide_a_run() {
    let fleet = two_zones().await;
    let upstream = &fleet.members[2].upstream;
    upstream.repeats_refusals.set(true);
    *upstream.name.borrow_mut() = "u2-again".to_owned();
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(upstream.ids(), ["i1"]);
}
