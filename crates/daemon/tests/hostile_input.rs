//! The node continues to serve after random bytes, oversized heads and frames, truncated bodies,
//! forged headers and too many connections at its listeners.

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
/// Connections with random bytes to one listener.
const GARBAGE_COUNT: u64 = 40;
/// Random bytes sent on one connection.
const GARBAGE_BYTES: usize = 2048;

/// Starts a node whose upstream responds with the `lagoonshore-` header fields that it received.
async fn start_node() -> TestNode {
    let upstream = support::start_upstream(|request: HttpRequest| async move {
        let names = request
            .headers
            .iter()
            .filter(|field| field.name.starts_with("lagoonshore-"));
        let seen = names.map(|field| format!("{}={:?}\n", field.name, field.value));
        support::ok_response(&seen.collect::<String>())
    });
    support::start_node("medication-log", "izmit", upstream.await, &[MEDICATION]).await
}

async fn assert_serves(node: &TestNode) {
    let response = support::send(node.addresses.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!((response.status, response.outcome.as_str()), (200, "ran"));
}

/// Sends bytes, closes the sending side and reads until the node closes.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the listener accepts");
    // The listener may close before it has read all bytes, so write errors are ignored.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    response
}

#[rstest]
#[case::inbound(|node: &TestNode| node.addresses.inbound)]
#[case::outbound(|node: &TestNode| node.addresses.outbound)]
#[case::peer(|node: &TestNode| node.addresses.peer)]
#[case::admin(|node: &TestNode| node.addresses.admin)]
#[actix_rt::test]
async fn garbage_does_not_stop_the_node(#[case] address: fn(&TestNode) -> SocketAddr) {
    let node = start_node().await;
    for seed in 0..GARBAGE_COUNT {
        let mut garbage = vec![0; GARBAGE_BYTES];
        StdRng::seed_from_u64(seed).fill_bytes(&mut garbage);
        send_raw(address(&node), &garbage).await;
    }
    assert_serves(&node).await;
}

#[actix_rt::test]
async fn a_frame_with_a_huge_length_prefix_is_refused() {
    let node = start_node().await;
    let response = send_raw(node.addresses.peer, &[0xff, 0xff, 0xff, 0xff, 0, 0, 0]).await;
    assert!(response.is_empty());
    assert_serves(&node).await;
}

#[actix_rt::test]
async fn a_request_head_above_the_limit_is_refused() {
    let node = start_node().await;
    let head = format!(
        "GET /day/7 HTTP/1.1\r\nhost: x\r\nfiller: {}\r\n\r\n",
        "x".repeat(200_000)
    );
    let response = send_raw(node.addresses.inbound, head.as_bytes()).await;
    let response = String::from_utf8_lossy(&response);
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    assert_serves(&node).await;
}

#[actix_rt::test]
async fn a_body_shorter_than_its_content_length_does_not_reach_the_upstream() {
    let node = start_node().await;
    let truncated = "POST /meals/7 HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nshort";
    send_raw(node.addresses.inbound, truncated.as_bytes()).await;
    assert_serves(&node).await;
    assert_eq!(node.node.counters.borrow().dispatched, 1);
}

#[actix_rt::test]
async fn internal_headers_of_callers_are_stripped() {
    let node = start_node().await;
    let forged = [
        ("lagoonshore-call", "1"),
        ("lagoonshore-importance", "0"),
        ("lagoonshore-tokens", "99"),
        ("lagoonshore-outcome", "ran"),
    ];
    let response = support::send(node.addresses.inbound, "GET", "/day/7", &forged, "").await;
    let names: Vec<_> = response
        .body
        .lines()
        .filter_map(|line| line.split('=').next())
        .collect();
    assert_eq!(names, ["lagoonshore-call"], "{}", response.body);
    let second = support::send(node.addresses.inbound, "GET", "/day/7", &forged, "").await;
    assert_ne!(
        response.body, second.body,
        "each request gets a new call id from the node"
    );
}

#[actix_rt::test]
async fn connections_above_the_limit_are_closed() {
    let node = start_node().await;
    node.node.connections.set(2);
    let first = TcpStream::connect(node.addresses.inbound)
        .await
        .expect("accepted");
    let second = TcpStream::connect(node.addresses.inbound)
        .await
        .expect("accepted");
    let mut third = TcpStream::connect(node.addresses.inbound)
        .await
        .expect("accepted, then closed");
    let mut rest = Vec::new();
    let read = third.read_to_end(&mut rest).await;
    assert!(rest.is_empty() || read.is_err());
    drop((first, second));
}
