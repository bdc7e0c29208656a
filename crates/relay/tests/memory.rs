//! Requests for which a node has no memory: what their callers get, and that they did not run.

mod support;

use actix_rt::net::TcpStream;
use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_protocol::{
    relay_bytes::RelayBytes,
    relay_messages::{DeliveryStatus, RelayRefusal, RelayRequest, RelayResult},
};
use lagoonshore_relay::directory::DocumentSource;
use lagoonshore_state::{route_table::FleetDocument, units::RequestImportance};
use std::time::Duration;
use support::{TestFleet, ask, document, route};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::Instant,
};

/// Body of which the memory of a node, of 100 MiB, holds one.
const LARGE_BYTES: usize = 30_000_000;

/// A fleet whose callers may send large bodies.
async fn start_fleet() -> TestFleet {
    let fleet = TestFleet::start(&[("a", "z1"), ("a", "z2")]).await;
    let mut document: FleetDocument = document(1, &[route("/once/", "a", false)]);
    document.limits.body_bytes = 64 << 20;
    for member in &fleet.members {
        let directory = &member.node.directory;
        directory.apply_document(document.clone(), DocumentSource::Store);
    }
    fleet
}

/// Sends the head of a request with a large body.
async fn start_upload(fleet: &TestFleet, id: &str) -> TcpStream {
    let address = fleet.members[0].listen.callers;
    let mut stream = TcpStream::connect(address).await.expect("an open listener");
    let head = format!(
        "POST /once/ok HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nTime-Limit-Ms: 3000\r\n\
         Content-Length: {LARGE_BYTES}\r\n\r\nfirst bytes"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

#[actix_rt::test]
async fn a_body_that_does_not_fit_is_refused_and_small_requests_are_served() {
    let fleet = start_fleet().await;
    let mut first = start_upload(&fleet, "first").await;
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let mut second = start_upload(&fleet, "second").await;
    let mut response = vec![0; 4096];
    let read = second.read(&mut response).await.expect("a response");
    let response = String::from_utf8_lossy(&response[..read]).to_ascii_lowercase();
    assert!(response.starts_with("http/1.1 503 "), "{response}");
    for field in [
        "request-id: second",
        "retry-after: 0.5",
        "lagoonshore-reason: memory",
        "connection: close",
    ] {
        assert!(response.contains(field), "{field}: {response}");
    }
    let callers = fleet.members[0].listen.callers;
    let small = ask(callers, "POST", "/once/ok", "small", "").await;
    assert_eq!(small.status, 200, "{small:?}");
    let rest = vec![b'x'; LARGE_BYTES - "first bytes".len()];
    first.write_all(&rest).await.expect("sent");
    let mut status = [0; 12];
    first.read_exact(&mut status).await.expect("a response");
    assert_eq!(&status, b"HTTP/1.1 200");
    let third = start_upload(&fleet, "third").await;
    drop(third);
    let runs: Vec<_> = fleet
        .members
        .iter()
        .flat_map(|member| member.upstream.ids())
        .collect();
    assert!(!runs.contains(&"second".to_owned()), "{runs:?}");
}

/// Guards against a request that runs without the part of it for which the node had no memory.
#[actix_rt::test]
async fn a_request_whose_body_was_dropped_does_not_run() {
    let fleet = start_fleet().await;
    let member = &fleet.members[0];
    let request = RelayRequest {
        id: "i1".into(),
        service: "a".into(),
        instance: "u0".into(),
        origin: "a".into(),
        method: "POST".into(),
        target: "/once/ok".into(),
        fields: RelayBytes::default(),
        body: RelayBytes::Dropped,
        importance: RequestImportance(0),
        account: None,
        is_idempotent: false,
        calls_before: None,
        calls_left: None,
        route: 1,
        aim_ms: 1000,
        wait_ms: 1000,
        is_returning: false,
        is_repeat: false,
        is_resent: false,
        crashes: Vec::new(),
        revision: 0,
        departed: None,
        limit: None,
    };
    let deadline = Instant::now() + Duration::from_secs(3);
    let reply = member.node.server.serve(request, deadline).await;
    let expected = RelayResult::Refused(RelayRefusal {
        reason: RefusalReason::Overload,
        reach: DeliveryStatus::Unsent,
        retry_ms: 500,
        is_below: false,
    });
    assert_eq!(reply.result, expected);
    assert_eq!(member.upstream.ids().len(), 0);
}
