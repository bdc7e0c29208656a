//! Garbage, oversized and forged input at the doors: the node goes on serving.

mod support;

use lagoonshore_transport::http_listener::HttpRequest;
use rand::{RngCore, SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::net::SocketAddr;
use support::TestNode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");
/// Connections with garbage at one door.
const GARBAGE_COUNT: u64 = 40;
/// Bytes of garbage on one connection.
const GARBAGE_BYTES: usize = 2048;

/// A node whose upstream answers with the header fields it received.
async fn node() -> TestNode {
    let upstream = support::upstream(|request: HttpRequest| async move {
        let names = request
            .headers
            .iter()
            .filter(|field| field.name.starts_with("lagoonshore-"));
        let seen = names.map(|field| format!("{}={:?}\n", field.name, field.value));
        support::ok(&seen.collect::<String>())
    });
    support::node("medication-log", "izmit", upstream.await, &[MEDICATION]).await
}

async fn assert_serves(node: &TestNode) {
    let answer = support::send(node.doors.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
}

/// Sends bytes and closes the sending side; reads whatever comes back.
async fn send_raw(door: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(door).await.expect("the door accepts");
    // The door may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    answer
}

#[rstest]
#[case::inbound(|node: &TestNode| node.doors.inbound)]
#[case::outbound(|node: &TestNode| node.doors.outbound)]
#[case::peer(|node: &TestNode| node.doors.peer)]
#[case::admin(|node: &TestNode| node.doors.admin)]
#[actix_rt::test]
async fn garbage_does_not_stop_the_node(#[case] door: fn(&TestNode) -> SocketAddr) {
    let node = node().await;
    for seed in 0..GARBAGE_COUNT {
        let mut garbage = vec![0; GARBAGE_BYTES];
        StdRng::seed_from_u64(seed).fill_bytes(&mut garbage);
        send_raw(door(&node), &garbage).await;
    }
    assert_serves(&node).await;
}

#[actix_rt::test]
async fn a_frame_that_claims_to_be_huge_is_refused() {
    let node = node().await;
    let answer = send_raw(node.doors.peer, &[0xff, 0xff, 0xff, 0xff, 0, 0, 0]).await;
    assert!(answer.is_empty());
    assert_serves(&node).await;
}

#[actix_rt::test]
async fn a_head_above_the_bound_is_refused() {
    let node = node().await;
    let head = format!(
        "GET /day/7 HTTP/1.1\r\nhost: x\r\nfiller: {}\r\n\r\n",
        "x".repeat(200_000)
    );
    let answer = send_raw(node.doors.inbound, head.as_bytes()).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_serves(&node).await;
}

#[actix_rt::test]
async fn a_body_shorter_than_announced_does_not_reach_the_upstream() {
    let node = node().await;
    let torn = "POST /meals/7 HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nshort";
    send_raw(node.doors.inbound, torn.as_bytes()).await;
    assert_serves(&node).await;
    assert_eq!(node.node.counters.borrow().handed_over, 1);
}

#[actix_rt::test]
async fn system_headers_from_outside_are_stripped() {
    let node = node().await;
    let forged = [
        ("lagoonshore-call", "1"),
        ("lagoonshore-importance", "0"),
        ("lagoonshore-tokens", "99"),
        ("lagoonshore-outcome", "ran"),
    ];
    let answer = support::send(node.doors.inbound, "GET", "/day/7", &forged, "").await;
    let names: Vec<_> = answer
        .body
        .lines()
        .filter_map(|line| line.split('=').next())
        .collect();
    assert_eq!(names, ["lagoonshore-call"], "{}", answer.body);
    let second = support::send(node.doors.inbound, "GET", "/day/7", &forged, "").await;
    assert_ne!(answer.body, second.body, "the call id is the node's own");
}

#[actix_rt::test]
async fn connections_above_the_bound_are_closed() {
    let node = node().await;
    node.node.connections.set(2);
    let first = TcpStream::connect(node.doors.inbound)
        .await
        .expect("accepted");
    let second = TcpStream::connect(node.doors.inbound)
        .await
        .expect("accepted");
    let mut third = TcpStream::connect(node.doors.inbound)
        .await
        .expect("accepted, then closed");
    let mut rest = Vec::new();
    let read = third.read_to_end(&mut rest).await;
    assert!(rest.is_empty() || read.is_err());
    drop((first, second));
}
