//! Planned stops, over real sockets: what callers get whose requests are in progress when the node
//! has to end.

mod support;

use actix_rt::{net::TcpStream, task::JoinHandle};
use std::{net::SocketAddr, time::Duration};
use support::{CallerResponse, TestFleet, ask, route, send, until};

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

/// Requests that callers sent during a stop, by what they got.
#[derive(Debug, Default, PartialEq, Eq)]
struct StopOutcomes {
    served: u32,
    refused: u32,
    unread: u32,
}

/// Sends one request after the other, each on a new connection, until the listener is closed.
async fn send_until_closed(callers: SocketAddr, name: usize) -> StopOutcomes {
    let mut outcomes = StopOutcomes::default();
    let mut number = 0;
    while let Ok(stream) = TcpStream::connect(callers).await {
        number += 1;
        let id = format!("c{name}-{number}");
        match send(&stream, "POST", "/b-once/slow", &id).await {
            Some(200) => outcomes.served += 1,
            Some(503) => outcomes.refused += 1,
            Some(status) => panic!("{id}: {status}"),
            None => outcomes.unread += 1,
        }
    }
    outcomes
}

#[actix_rt::test]
async fn requests_that_come_late_in_a_calm_stop_are_served_or_refused() {
    let fleet = fleet_with_short_grace().await;
    let stopping = &fleet.members[0];
    let callers = stopping.listen.callers;
    let sending: Vec<_> = (0..6)
        .map(|name| actix_rt::spawn(send_until_closed(callers, name)))
        .collect();
    until(|| fleet.members[1].upstream.ids().len() >= 6).await;
    stopping.node.stop().await;
    let mut total = StopOutcomes::default();
    for task in sending {
        let outcomes = task.await.expect("the caller does not panic");
        total.served += outcomes.served;
        total.refused += outcomes.refused;
        total.unread += outcomes.unread;
    }
    assert!(total.served > 6 && total.refused > 0, "{total:?}");
    let ran = u32::try_from(fleet.members[1].upstream.ids().len()).expect("a count");
    assert_eq!(total.served, ran, "each request that ran got its response");
}
