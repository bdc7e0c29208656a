//! Upstreams, nodes and documents that come, go and change, over real sockets.

mod support;

use lagoonshore_state::instance_table::InstanceState;
use std::time::Duration;
use support::{TestFleet, ask, route, two_zones, until};

#[actix_rt::test]
async fn an_upstream_that_leaves_gets_no_new_request() {
    let mut fleet = two_zones().await;
    fleet.list(0, InstanceState::Leaving);
    for id in ["i1", "i2", "i3"] {
        let answer = fleet.ask("POST", "/once/ok", id).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fleet.members[0].upstream.ids().len(), 0);
    assert_eq!(fleet.members[1].upstream.ids(), vec!["i1", "i2", "i3"]);
}

#[actix_rt::test]
async fn a_node_that_heard_of_a_departure_refuses_for_nodes_that_did_not() {
    let fleet = two_zones().await;
    let knows = &fleet.members[2].node.directory;
    knows.remove_upstream("u2", 1000);
    let answer = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(
        answer.fields.contains("Lagoonshore-Reason: draining"),
        "{answer:?}"
    );
    assert_eq!(fleet.members[2].upstream.ids().len(), 0);
}

#[actix_rt::test]
async fn an_upstream_that_took_the_place_of_another_is_used_at_once() {
    let fleet = two_zones().await;
    *fleet.members[2].upstream.name.borrow_mut() = "u2-again".to_owned();
    let answer = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let seen = fleet.members[2].upstream.seen.borrow()[0].clone();
    assert!(
        seen.fields.contains("expected-instance: u2-again"),
        "{}",
        seen.fields
    );
}

/// The list of the sender names an upstream of `b` at an address at which `a` serves now.
#[actix_rt::test]
async fn an_address_that_passed_to_another_service_takes_no_request_of_the_old_one() {
    let mut fleet = two_zones().await;
    fleet.members[1].service = "b".into();
    fleet.members[1].name = "old-b".into();
    fleet.list(1, InstanceState::Live);
    fleet.list(2, InstanceState::Leaving);
    let answer = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(fleet.members[1].upstream.ids().len(), 0);
}

#[actix_rt::test]
async fn an_upstream_that_is_down_is_not_run_and_found_again() {
    let fleet = two_zones().await;
    fleet.members[2].upstream.stop();
    until(|| true).await;
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    let answer = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
}

#[actix_rt::test]
async fn a_node_that_knows_no_routes_answers_503() {
    let fleet = TestFleet::start(&[("a", "z1")]).await;
    let answer = fleet.ask("GET", "/a/ok", "i1").await;
    assert_eq!(answer.status, 503);
    let ready = ask(fleet.members[0].listen.ready, "GET", "/ready", "x", "").await;
    assert_eq!(ready.status, 503);
    fleet.publish(1, &[route("/a/", "a", true)]);
    let ready = ask(fleet.members[0].listen.ready, "GET", "/ready", "x", "").await;
    assert_eq!(ready.status, 200);
}

#[actix_rt::test]
async fn an_older_document_changes_nothing() {
    let fleet = two_zones().await;
    fleet.publish(5, &[route("/new/", "a", true)]);
    fleet.publish(4, &[route("/a/", "a", true)]);
    let door = fleet.members[0].listen.callers;
    assert_eq!(ask(door, "GET", "/a/ok", "i1", "").await.status, 404);
    assert_eq!(ask(door, "GET", "/new/ok", "i2", "").await.status, 200);
}

/// A request that lasts keeps a stopping node alive; callers who find no other node are served
/// meanwhile.
#[actix_rt::test]
async fn a_stopping_node_serves_callers_until_its_end() {
    let fleet = two_zones().await;
    let stopping = &fleet.members[0];
    let held = actix_rt::spawn(ask(stopping.listen.callers, "GET", "/b/never", "i0", ""));
    until(|| fleet.members[2].upstream.ids() == vec!["i0"]).await;
    let node = stopping.node.clone();
    let stop = actix_rt::spawn(async move { lagoonshore_relay::planned_stop::run(&node).await });
    for id in ["x1", "x2", "x3", "x4"] {
        ask(stopping.listen.ready, "GET", "/ready", id, "").await;
    }
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert!(!stop.is_finished(), "the request is still running");
    let answer = ask(stopping.listen.callers, "GET", "/a/ok", "i1", "").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    stop.abort();
    held.abort();
}

/// What is left of the process after a stop ends at any moment, with all that it has let in.
#[actix_rt::test]
async fn after_a_stop_nothing_more_is_let_in() {
    let fleet = two_zones().await;
    let stopping = &fleet.members[2];
    let watched = stopping.node.clone();
    let ready = stopping.listen.ready;
    let checks = actix_rt::spawn(async move {
        loop {
            ask(ready, "GET", "/ready", "x", "").await;
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    lagoonshore_relay::planned_stop::run(&watched).await;
    checks.abort();
    let answer = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(stopping.upstream.ids().len(), 0);
    let connected = actix_rt::net::TcpStream::connect(stopping.listen.callers).await;
    assert!(
        connected.is_err(),
        "callers are told at once that nobody listens"
    );
}

#[actix_rt::test]
async fn a_node_that_knows_nothing_takes_no_work_until_it_is_taught() {
    let fleet = two_zones().await;
    let started = TestFleet::start(&[("b", "z1")]).await;
    let lonely = &started.members[0];
    let knowledge = fleet.members[0]
        .node
        .directory
        .snapshot()
        .expect("a document");
    assert_eq!(lonely.node.directory.version(), 0);
    assert!(!lonely.node.ready.is_ready());
    lonely.node.directory.merge_snapshot(knowledge.clone());
    assert!(lonely.node.ready.is_ready());
    let answer = ask(lonely.listen.callers, "GET", "/a/ok", "i1", "").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let mut newer = knowledge;
    newer.document.version = 9;
    lonely.node.directory.merge_snapshot(newer);
    assert_eq!(
        lonely.node.directory.version(),
        1,
        "one that knows is not taught"
    );
}
