//! Planned stops, over real sockets: what callers get whose requests are in progress when the node
//! has to end.

mod support;

use actix_rt::task::JoinHandle;
use std::time::Duration;
use support::{CallerResponse, TestFleet, ask, route, until};

/// Grace time of the stopping nodes. It is short, because every test waits for its end.
const GRACE_TIME: Duration = Duration::from_millis(1500);

/// Service `a` in the zone of the callers, service `b` in another one.
async fn fleet_with_short_grace() -> TestFleet {
    let fleet = TestFleet::start_with_grace(&[("a", "z1"), ("b", "z2")], GRACE_TIME).await;
    let mut routes = [route("/a-once/", "a", false), route("/b-once/", "b", false)];
    for route in &mut routes {
        // Requests may wait for a slot until their deadline.
        route.aim = route.timeout;
    }
    fleet.publish(1, &routes);
    fleet
}

/// Response to a request of a node that has ended: it must be on its way already.
async fn response_after_stop(request: JoinHandle<CallerResponse>) -> CallerResponse {
    let response = actix_rt::time::timeout(Duration::from_millis(300), request).await;
    let response = response.expect("the request is answered before the process ends");
    response.expect("the caller does not panic")
}

fn reason(response: &CallerResponse) -> (u16, &str) {
    (response.status, response.body.as_str())
}

#[actix_rt::test]
async fn a_request_without_a_reply_is_answered_before_the_callers_node_ends() {
    let fleet = fleet_with_short_grace().await;
    let stopping = &fleet.members[0];
    let held = actix_rt::spawn(ask(
        stopping.listen.callers,
        "POST",
        "/b-once/never",
        "i1",
        "",
    ));
    until(|| !fleet.members[1].upstream.ids().is_empty()).await;
    stopping.node.stop().await;
    let response = response_after_stop(held).await;
    assert_eq!(reason(&response), (502, "draining"));
}

#[actix_rt::test]
async fn a_request_at_the_local_upstream_is_answered_before_the_node_ends() {
    let fleet = fleet_with_short_grace().await;
    let stopping = &fleet.members[0];
    let held = actix_rt::spawn(ask(
        stopping.listen.callers,
        "POST",
        "/a-once/never",
        "i1",
        "",
    ));
    until(|| !stopping.upstream.ids().is_empty()).await;
    stopping.node.stop().await;
    let response = response_after_stop(held).await;
    assert_eq!(reason(&response), (502, "draining"));
}

#[actix_rt::test]
async fn a_request_in_the_queue_of_a_stopping_node_is_refused_as_not_run() {
    let mut fleet = fleet_with_short_grace().await;
    fleet.members[1].upstream.slots = 1;
    fleet.list_all();
    let stopping = &fleet.members[1];
    let callers = fleet.members[0].listen.callers;
    let running = actix_rt::spawn(ask(callers, "POST", "/b-once/never", "i1", ""));
    until(|| stopping.upstream.ids() == vec!["i1"]).await;
    let queued = actix_rt::spawn(ask(callers, "POST", "/b-once/ok", "i2", ""));
    until(|| stopping.node.dump().slots.queued == 1).await;
    stopping.node.stop().await;
    let running = response_after_stop(running).await;
    assert_eq!(reason(&running), (502, "draining"));
    let queued = response_after_stop(queued).await;
    assert_eq!(reason(&queued), (503, "draining"));
    assert_eq!(stopping.upstream.ids(), vec!["i1"]);
}
