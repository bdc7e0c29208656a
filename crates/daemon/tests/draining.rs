//! Draining of whole nodes on loopback, for each cause: a planned stop, the platform's list, the
//! health check of the upstream and a pause of the process.
//!
//! A node that stops before its peers know loses requests in progress and gets new ones that it
//! cannot serve. So it announces the drain first, finishes what it has and closes connections only
//! after their response.

mod support;

#[path = "support/crashing_upstream.rs"]
mod crashing_upstream;

use crashing_upstream::CrashingUpstream;
use lagoonshore_coordination::{
    gossip::policy_digest::ListVersion, lifecycle::drain_state::DrainState,
    request::outcome::RefusalReason,
};
use lagoonshore_daemon::{
    distribution::platform_watch,
    lifecycle::{node_lifecycle, planned_stop},
    protection::health_probe,
};
use lagoonshore_state::instance_table::InstanceState;
use std::{net::SocketAddr, time::Duration};
use support::{TestNode, TestResponse};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

const PORTAL: &str = include_str!("../../../examples/kocaeli/records/diary-portal.yaml");
const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");

async fn start_medication(zone: &str) -> (TestNode, CrashingUpstream) {
    let upstream = CrashingUpstream::start();
    let node = support::start_node("medication-log", zone, upstream.address, &[MEDICATION]).await;
    (node, upstream)
}

/// Starts a portal whose calls prefer `near`, in its own zone, to `far`.
async fn start_portal(near: &TestNode, far: &TestNode) -> TestNode {
    let unused = support::start_upstream(|_| async { support::ok_response("") }).await;
    let portal = support::start_node("diary-portal", "izmit", unused, &[PORTAL, MEDICATION]).await;
    support::add_instance(&portal, near);
    support::add_instance(&portal, far);
    portal
}

async fn send_call(portal: SocketAddr, path: &'static str) -> TestResponse {
    support::send(portal, "GET", path, &[("host", "medication-log")], "").await
}

async fn get_held_report(address: SocketAddr) -> TestResponse {
    support::send(address, "GET", "/reports/held", &[], "").await
}

fn drain_state(node: &TestNode) -> DrainState {
    node.node.drain.borrow().state()
}

fn is_marked_draining(portal: &TestNode, peer: &TestNode) -> bool {
    let key = portal
        .node
        .instances
        .borrow()
        .find(&peer.node.settings.instance);
    let selector = portal.node.selector.borrow();
    key.and_then(|key| selector.summary(key, Instant::now()))
        .is_some_and(|view| view.draining)
}

#[actix_rt::test]
async fn a_planned_stop_finishes_requests_in_progress_and_gets_no_new_ones() {
    let (near, upstream) = start_medication("izmit").await;
    let (far, other) = start_medication("gebze").await;
    let portal = start_portal(&near, &far).await;
    support::add_instance(&near, &far);
    let inbound = near.addresses.inbound;
    let in_progress: Vec<_> = (0..20)
        .map(|_| actix_rt::spawn(get_held_report(inbound)))
        .collect();
    support::wait_until(|| upstream.runs() == 15).await;
    let called = actix_rt::spawn(send_call(portal.addresses.outbound, "/day/first"));
    assert_eq!(called.await.expect("the call task ends").status, 200);
    assert_eq!((upstream.runs(), other.runs()), (16, 0));
    support::wait_until(|| near.node.gate.load().queued == 5).await;

    let node = near.node.clone();
    let mut stopping = actix_rt::spawn(async move { planned_stop::run(&node).await });
    // The instance table still lists the node as live; the notice to its peers comes first.
    support::wait_until(|| is_marked_draining(&portal, &near)).await;
    let offered = near.node.counters.borrow().offered;
    for _ in 0..10 {
        assert_eq!(
            send_call(portal.addresses.outbound, "/day/later")
                .await
                .status,
            200
        );
    }
    assert_eq!(near.node.counters.borrow().offered, offered);
    assert_eq!(other.runs(), 10);
    // A request that a caller still sends to the draining node is served by another instance.
    let response = support::send(inbound, "GET", "/day/caller", &[], "").await;
    assert_eq!((response.status, other.runs()), (200, 11));
    // The stop does not end while requests are held and their deadlines have not passed.
    let early_stop = tokio::time::timeout(Duration::from_millis(600), &mut stopping).await;
    assert!(
        early_stop.is_err(),
        "the stop ended with requests in progress"
    );

    upstream.release(20);
    for request in in_progress {
        assert_eq!(request.await.expect("the request task ends").status, 200);
    }
    stopping.await.expect("the stop task ends");
    assert_eq!(drain_state(&near), DrainState::Ended);
    assert_eq!(upstream.runs(), 21);
}

#[actix_rt::test]
async fn a_draining_node_closes_a_connection_after_its_response() {
    let (node, upstream) = start_medication("izmit").await;
    let mut connection = TcpStream::connect(node.addresses.inbound)
        .await
        .expect("the inbound listener accepts");
    let request = b"GET /reports/held HTTP/1.1\r\nhost: medication-log\r\n\r\n";
    connection
        .write_all(request)
        .await
        .expect("the request is written");
    support::wait_until(|| upstream.runs() == 1).await;
    let shared = node.node.clone();
    let stopping = actix_rt::spawn(async move { planned_stop::run(&shared).await });
    support::wait_until(|| drain_state(&node) == DrainState::Draining).await;
    upstream.release(1);
    let mut response = String::new();
    // The read ends only when the node closes the connection.
    connection
        .read_to_string(&mut response)
        .await
        .expect("a complete response");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert!(response.ends_with("/reports/held"), "{response}");
    stopping.await.expect("the stop task ends");
}

#[actix_rt::test]
async fn an_instance_that_the_platform_lists_as_leaving_drains() {
    let (node, upstream) = start_medication("izmit").await;
    support::add_instance(&node, &node);
    let own = |state| {
        let table = node.node.instances.borrow();
        let key = table
            .find("medication-log-izmit")
            .expect("the node's instance is listed");
        let mut record = table.get(key).expect("the key has a record").clone();
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
    let response = support::send(node.addresses.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!((response.outcome.as_str(), upstream.runs()), ("not-run", 0));
    let live = own(InstanceState::Live);
    platform_watch::apply_instances(&node.node, &version(2), vec![live]);
    let response = support::send(node.addresses.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!(response.status, 200);
}

#[actix_rt::test]
async fn an_upstream_whose_health_check_fails_with_503_drains_its_node() {
    let (near, upstream) = start_medication("izmit").await;
    let (far, other) = start_medication("gebze").await;
    let portal = start_portal(&near, &far).await;
    actix_rt::spawn(health_probe::run(near.node.clone()));
    assert_eq!(
        send_call(portal.addresses.outbound, "/day/first")
            .await
            .status,
        200
    );
    upstream.set_health(503);
    support::wait_until(|| is_marked_draining(&portal, &near)).await;
    assert_eq!(
        send_call(portal.addresses.outbound, "/day/later")
            .await
            .status,
        200
    );
    assert_eq!((upstream.runs(), other.runs()), (1, 1));
    upstream.set_health(200);
    support::wait_until(|| !is_marked_draining(&portal, &near)).await;
    assert_eq!(
        send_call(portal.addresses.outbound, "/day/back")
            .await
            .status,
        200
    );
    assert_eq!((upstream.runs(), other.runs()), (2, 1));
}

#[actix_rt::test]
async fn a_resumed_process_refuses_requests_until_it_has_probed_its_upstream() {
    let (node, upstream) = start_medication("izmit").await;
    let long_ago = Instant::now() - Duration::from_secs(5);
    node.node.protection.pause.borrow_mut().tick(long_ago);
    let response = support::send(node.addresses.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!((response.outcome.as_str(), upstream.runs()), ("not-run", 0));
    actix_rt::spawn(node_lifecycle::watch_pauses(node.node.clone()));
    support::wait_until(|| drain_state(&node) == DrainState::Draining).await;
    support::wait_until(|| node_lifecycle::refusal(&node.node).is_none()).await;
    let response = support::send(node.addresses.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!(response.status, 200);
}
