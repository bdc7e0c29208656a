//! Whole nodes on loopback that leave: by a planned stop, the platform, the upstream, a pause.

mod support;

#[path = "support/crashing_upstream.rs"]
mod crashing_upstream;

use crashing_upstream::CrashingUpstream;
use lagoonshore_coordination::{
    gossip::policy_digest::ListVersion, lifecycle::drain::DrainState,
    request::outcome::RefusalReason,
};
use lagoonshore_daemon::{
    distribution::platform_watch,
    lifecycle::{node_lifecycle, planned_stop},
    protection::health_probe,
};
use lagoonshore_state::instance_table::InstanceState;
use std::{net::SocketAddr, time::Duration};
use support::{TestAnswer, TestNode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

const PORTAL: &str = include_str!("../../../examples/kocaeli/records/diary-portal.yaml");
const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");

async fn medication(zone: &str) -> (TestNode, CrashingUpstream) {
    let upstream = CrashingUpstream::start();
    let node = support::node("medication-log", zone, upstream.address, &[MEDICATION]).await;
    (node, upstream)
}

/// A portal whose calls prefer `near`, in its own zone, over `far`.
async fn portal(near: &TestNode, far: &TestNode) -> TestNode {
    let idle = support::upstream(|_| async { support::ok("") }).await;
    let portal = support::node("diary-portal", "izmit", idle, &[PORTAL, MEDICATION]).await;
    support::introduce(&portal, near);
    support::introduce(&portal, far);
    portal
}

async fn call(portal: SocketAddr, path: &'static str) -> TestAnswer {
    support::send(portal, "GET", path, &[("host", "medication-log")], "").await
}

async fn report(door: SocketAddr) -> TestAnswer {
    support::send(door, "GET", "/reports/held", &[], "").await
}

fn state(node: &TestNode) -> DrainState {
    node.node.drain.borrow().state()
}

fn says_draining(portal: &TestNode, of: &TestNode) -> bool {
    let key = portal
        .node
        .instances
        .borrow()
        .find(&of.node.settings.instance);
    let selector = portal.node.selector.borrow();
    key.and_then(|key| selector.summary(key, Instant::now()))
        .is_some_and(|view| view.draining)
}

#[actix_rt::test]
async fn a_planned_stop_finishes_what_is_in_progress_and_gets_no_new_work() {
    let (near, upstream) = medication("izmit").await;
    let (far, other) = medication("gebze").await;
    let portal = portal(&near, &far).await;
    support::introduce(&near, &far);
    let door = near.doors.inbound;
    let in_progress: Vec<_> = (0..20).map(|_| actix_rt::spawn(report(door))).collect();
    support::until(|| upstream.runs() == 15).await;
    let called = actix_rt::spawn(call(portal.doors.outbound, "/day/first"));
    assert_eq!(called.await.expect("the call ends").status, 200);
    assert_eq!((upstream.runs(), other.runs()), (16, 0));
    support::until(|| near.node.gate.load().queued == 5).await;

    let node = near.node.clone();
    let mut stopping = actix_rt::spawn(async move { planned_stop::run(&node).await });
    // The list still says that the node is live; the notice goes before it.
    support::until(|| says_draining(&portal, &near)).await;
    let offered = near.node.counters.borrow().offered;
    for _ in 0..10 {
        assert_eq!(call(portal.doors.outbound, "/day/later").await.status, 200);
    }
    assert_eq!(near.node.counters.borrow().offered, offered);
    assert_eq!(other.runs(), 10);
    // A caller that still comes is served elsewhere.
    let answer = support::send(door, "GET", "/day/caller", &[], "").await;
    assert_eq!((answer.status, other.runs()), (200, 11));
    // The stop waits for the requests that are held, however long.
    let early = tokio::time::timeout(Duration::from_millis(600), &mut stopping).await;
    assert!(early.is_err(), "the stop ended with requests in progress");

    upstream.release(20);
    for request in in_progress {
        assert_eq!(request.await.expect("the request ends").status, 200);
    }
    stopping.await.expect("the stop ends");
    assert_eq!(state(&near), DrainState::Ended);
    assert_eq!(upstream.runs(), 21);
}

#[actix_rt::test]
async fn a_connection_gets_its_answer_and_is_then_closed() {
    let (node, upstream) = medication("izmit").await;
    let mut connection = TcpStream::connect(node.doors.inbound)
        .await
        .expect("the door is open");
    let request = b"GET /reports/held HTTP/1.1\r\nhost: medication-log\r\n\r\n";
    connection.write_all(request).await.expect("the door reads");
    support::until(|| upstream.runs() == 1).await;
    let shared = node.node.clone();
    let stopping = actix_rt::spawn(async move { planned_stop::run(&shared).await });
    support::until(|| state(&node) == DrainState::Draining).await;
    upstream.release(1);
    let mut answer = String::new();
    // The read ends only when the node closes the connection.
    connection
        .read_to_string(&mut answer)
        .await
        .expect("a whole answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("/reports/held"), "{answer}");
    stopping.await.expect("the stop ends");
}

#[actix_rt::test]
async fn the_platform_may_say_that_the_own_instance_is_leaving() {
    let (node, upstream) = medication("izmit").await;
    support::introduce(&node, &node);
    let own = |state| {
        let table = node.node.instances.borrow();
        let key = table
            .find("medication-log-izmit")
            .expect("the own instance is listed");
        let mut record = table.get(key).expect("a record").clone();
        record.state = state;
        record
    };
    let version = |index| ListVersion {
        service: "medication-log".into(),
        index,
    };
    let leaving = own(InstanceState::Leaving);
    platform_watch::apply_instances(&node.node, &version(1), vec![leaving]);
    assert_eq!(
        node_lifecycle::refusal(&node.node),
        Some(RefusalReason::Draining)
    );
    let answer = support::send(node.doors.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!((answer.outcome.as_str(), upstream.runs()), ("not-run", 0));
    let live = own(InstanceState::Live);
    platform_watch::apply_instances(&node.node, &version(2), vec![live]);
    let answer = support::send(node.doors.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn the_upstream_may_say_that_it_is_leaving() {
    let (near, upstream) = medication("izmit").await;
    let (far, other) = medication("gebze").await;
    let portal = portal(&near, &far).await;
    actix_rt::spawn(health_probe::run(near.node.clone()));
    assert_eq!(call(portal.doors.outbound, "/day/first").await.status, 200);
    upstream.set_health(503);
    support::until(|| says_draining(&portal, &near)).await;
    assert_eq!(call(portal.doors.outbound, "/day/later").await.status, 200);
    assert_eq!((upstream.runs(), other.runs()), (1, 1));
    upstream.set_health(200);
    support::until(|| !says_draining(&portal, &near)).await;
    assert_eq!(call(portal.doors.outbound, "/day/back").await.status, 200);
    assert_eq!((upstream.runs(), other.runs()), (2, 1));
}

#[actix_rt::test]
async fn a_process_that_wakes_late_refuses_until_it_has_looked() {
    let (node, upstream) = medication("izmit").await;
    let long_ago = Instant::now() - Duration::from_secs(5);
    node.node.protection.pause.borrow_mut().tick(long_ago);
    let answer = support::send(node.doors.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!((answer.outcome.as_str(), upstream.runs()), ("not-run", 0));
    actix_rt::spawn(node_lifecycle::watch_pauses(node.node.clone()));
    support::until(|| state(&node) == DrainState::Draining).await;
    support::until(|| node_lifecycle::refusal(&node.node).is_none()).await;
    let answer = support::send(node.doors.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!(answer.status, 200);
}
