//! Changes of the fleet, over real sockets: upstreams that drain, move or go down, nodes that
//! start and stop, and new documents.

mod support;

use lagoonshore_state::{instance_table::InstanceState, upstream_list::UpstreamRun};
use std::time::Duration;
use support::{TestFleet, ask, route, two_zones, until};

#[actix_rt::test]
async fn a_draining_upstream_gets_no_new_requests() {
    let mut fleet = two_zones().await;
    fleet.list(0, InstanceState::Leaving);
    for id in ["i1", "i2", "i3"] {
        let response = fleet.ask("POST", "/once/ok", id).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(fleet.members[0].upstream.ids().len(), 0);
    assert_eq!(fleet.members[1].upstream.ids(), vec!["i1", "i2", "i3"]);
}

#[actix_rt::test]
async fn a_node_refuses_requests_for_its_removed_upstream_from_nodes_that_still_list_it() {
    let fleet = two_zones().await;
    let informed = &fleet.members[2].node.directory;
    informed.remove_upstream("u2", 1000);
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(
        response.fields.contains("Lagoonshore-Reason: draining"),
        "{response:?}"
    );
    assert_eq!(fleet.members[2].upstream.ids().len(), 0);
}

#[actix_rt::test]
async fn an_upstream_that_replaced_another_is_used_at_once() {
    let fleet = two_zones().await;
    *fleet.members[2].upstream.name.borrow_mut() = "u2-again".to_owned();
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 200, "{response:?}");
    let seen = fleet.members[2].upstream.seen.borrow()[0].clone();
    assert!(
        seen.fields.contains("expected-instance: u2-again"),
        "{}",
        seen.fields
    );
}

#[actix_rt::test]
async fn an_upstream_that_leaves_gets_no_requests_for_the_one_it_replaced() {
    let mut fleet = two_zones().await;
    *fleet.members[2].upstream.name.borrow_mut() = "u2-again".to_owned();
    fleet.members[2].name = "u2-again".into();
    fleet.list(2, InstanceState::Leaving);
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(fleet.members[2].upstream.ids().len(), 0);
}

#[actix_rt::test]
async fn a_replacement_that_leaves_before_it_is_listed_as_live_gets_no_requests() {
    let mut fleet = two_zones().await;
    *fleet.members[2].upstream.name.borrow_mut() = "u2-again".to_owned();
    assert_eq!(fleet.ask("POST", "/b-once/ok", "i1").await.status, 200);
    fleet.members[2].name = "u2-again".into();
    fleet.list(2, InstanceState::Leaving);
    let response = fleet.ask("POST", "/b-once/ok", "i2").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(fleet.members[2].upstream.ids(), vec!["i1"]);
}

/// The sender's upstream list is stale: it names an upstream of `b` at an address that `a` uses
/// now. The node at that address must refuse the request, or it would run at the wrong service.
#[actix_rt::test]
async fn an_address_reused_by_another_service_gets_no_requests_of_the_old_service() {
    let mut fleet = two_zones().await;
    fleet.members[1].service = "b".into();
    fleet.members[1].name = "old-b".into();
    fleet.list(1, InstanceState::Live);
    fleet.list(2, InstanceState::Leaving);
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(fleet.members[1].upstream.ids().len(), 0);
}

#[actix_rt::test]
async fn a_request_to_an_upstream_that_is_down_is_refused() {
    let fleet = two_zones().await;
    fleet.members[2].upstream.stop();
    until(|| true).await;
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 503, "{response:?}");
}

#[actix_rt::test]
async fn a_node_without_routes_answers_503() {
    let fleet = TestFleet::start(&[("a", "z1")]).await;
    let response = fleet.ask("GET", "/a/ok", "i1").await;
    assert_eq!(response.status, 503);
    let ready = ask(fleet.members[0].listen.ready, "GET", "/ready", "x", "").await;
    assert_eq!(ready.status, 503);
    fleet.publish(1, &[route("/a/", "a", true)]);
    let ready = ask(fleet.members[0].listen.ready, "GET", "/ready", "x", "").await;
    assert_eq!(ready.status, 200);
}

#[actix_rt::test]
async fn an_older_document_is_ignored() {
    let fleet = two_zones().await;
    fleet.publish(5, &[route("/new/", "a", true)]);
    fleet.publish(4, &[route("/a/", "a", true)]);
    let callers = fleet.members[0].listen.callers;
    assert_eq!(ask(callers, "GET", "/a/ok", "i1", "").await.status, 404);
    assert_eq!(ask(callers, "GET", "/new/ok", "i2", "").await.status, 200);
}

/// A long request keeps a stopping node alive. Callers that find no other node must still be
/// served in that time.
#[actix_rt::test]
async fn a_stopping_node_serves_callers_until_it_exits() {
    let fleet = two_zones().await;
    let stopping = &fleet.members[0];
    let held = actix_rt::spawn(ask(stopping.listen.callers, "GET", "/b/never", "i0", ""));
    until(|| fleet.members[2].upstream.ids() == vec!["i0"]).await;
    let node = stopping.node.clone();
    let stop = actix_rt::spawn(async move { node.stop().await });
    for id in ["x1", "x2", "x3", "x4"] {
        ask(stopping.listen.ready, "GET", "/ready", id, "").await;
    }
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert!(!stop.is_finished(), "the long request is still running");
    let response = ask(stopping.listen.callers, "GET", "/a/ok", "i1", "").await;
    assert_eq!(response.status, 200, "{response:?}");
    stop.abort();
    held.abort();
}

/// After a stop the process may exit at any moment, so a request accepted then would be cut off.
#[actix_rt::test]
async fn a_stopped_node_accepts_no_requests() {
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
    watched.stop().await;
    checks.abort();
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(stopping.upstream.ids().len(), 0);
    let connected = actix_rt::net::TcpStream::connect(stopping.listen.callers).await;
    assert!(
        connected.is_err(),
        "the listener for callers is closed, so connections are refused"
    );
}

#[actix_rt::test]
async fn a_node_without_a_document_is_not_ready_until_it_gets_one_from_a_peer() {
    let fleet = two_zones().await;
    let started = TestFleet::start(&[("b", "z1")]).await;
    let starting = &started.members[0];
    let snapshot = fleet.members[0]
        .node
        .directory
        .snapshot()
        .expect("a document");
    assert_eq!(starting.node.directory.version(), 0);
    assert!(!starting.node.ready.is_ready());
    starting.node.directory.merge_snapshot(snapshot.clone());
    assert!(starting.node.ready.is_ready());
    let response = ask(starting.listen.callers, "GET", "/a/ok", "i1", "").await;
    assert_eq!(response.status, 200, "{response:?}");
    let mut newer = snapshot;
    newer.document.version = 9;
    starting.node.directory.merge_snapshot(newer);
    assert_eq!(
        starting.node.directory.version(),
        1,
        "a node that has a document does not take over another one"
    );
}

#[actix_rt::test]
async fn both_ends_of_a_call_report_the_newest_revision_to_each_other() {
    let fleet = two_zones().await;
    let sender = &fleet.members[0].node.directory;
    let receiver = &fleet.members[2].node.directory;
    sender.versions().record_known(7000);
    fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(receiver.versions().known_revision(), 7000);
    receiver.versions().record_known(9000);
    fleet.ask("POST", "/b-once/ok", "i2").await;
    assert_eq!(sender.versions().known_revision(), 9000);
}

#[actix_rt::test]
async fn an_upstream_that_announces_its_departure_in_a_response_gets_no_more_requests() {
    let mut fleet = two_zones().await;
    fleet.members[2].upstream.is_leaving.set(true);
    assert_eq!(fleet.ask("POST", "/b-once/ok", "i1").await.status, 200);
    let response = fleet.ask("POST", "/b-once/ok", "i2").await;
    assert_eq!(response.status, 503, "{response:?}");
    fleet.list(2, InstanceState::Live);
    let response = fleet.ask("POST", "/b-once/ok", "i3").await;
    assert_eq!(response.status, 503, "listed again: {response:?}");
    assert_eq!(fleet.members[2].upstream.ids(), vec!["i1"]);
}

#[actix_rt::test]
async fn a_restarted_node_learns_from_the_sender_that_its_upstream_is_leaving() {
    let fleet = two_zones().await;
    let sender = &fleet.members[0].node;
    let restarted = &fleet.members[2];
    let run = UpstreamRun {
        name: "u2-again".into(),
        started_ms: None,
    };
    sender.record_departure(restarted.listen.peers, &run);
    *restarted.upstream.name.borrow_mut() = "u2-again".to_owned();
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(restarted.upstream.ids().len(), 0);
}

#[actix_rt::test]
async fn a_new_run_under_the_name_of_one_that_left_gets_requests() {
    let mut fleet = two_zones().await;
    fleet.members[2].upstream.is_leaving.set(true);
    assert_eq!(fleet.ask("POST", "/b-once/ok", "i1").await.status, 200);
    fleet.members[2].upstream.is_leaving.set(false);
    fleet.members[2].started_ms = Some(2);
    fleet.list(2, InstanceState::Live);
    let response = fleet.ask("POST", "/b-once/ok", "i2").await;
    assert_eq!(response.status, 200, "{response:?}");
}
