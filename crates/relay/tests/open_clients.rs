//! Clients that stop within their requests while others ask for memory.

mod support;

use actix_rt::net::TcpStream;
use lagoonshore_relay::directory::DocumentSource;
use lagoonshore_state::route_table::FleetDocument;
use std::time::Duration;
use support::{TestFleet, document, route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Body of which the memory of a node, of 100 MiB, holds one.
const LARGE_BYTES: usize = 30_000_000;
/// Time after which a body that stopped may be given up for others.
const STOPPED_TIME: Duration = Duration::from_millis(1200);

async fn start_fleet() -> TestFleet {
    let fleet = TestFleet::start(&[("a", "z1")]).await;
    let mut document: FleetDocument = document(1, &[route("/once/", "a", false)]);
    document.limits.body_bytes = 64 << 20;
    let directory = &fleet.members[0].node.directory;
    directory.apply_document(document, DocumentSource::Store);
    fleet
}

/// Sends a request but for the last `left_out` bytes of its body.
async fn upload(fleet: &TestFleet, id: &str, left_out: usize) -> TcpStream {
    let address = fleet.members[0].listen.callers;
    let mut stream = TcpStream::connect(address).await.expect("an open listener");
    let head = format!(
        "POST /once/ok HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nTime-Limit-Ms: 9000\r\n\
         Content-Length: {LARGE_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let body = vec![b'x'; LARGE_BYTES - left_out];
    stream.write_all(&body).await.expect("sent");
    stream
}

async fn response(mut stream: TcpStream) -> String {
    let mut bytes = vec![0; 4096];
    let read = stream.read(&mut bytes).await.expect("a response");
    String::from_utf8_lossy(&bytes[..read]).to_ascii_lowercase()
}

#[actix_rt::test]
async fn a_request_that_stopped_gives_its_memory_to_another_and_does_not_run() {
    let fleet = start_fleet().await;
    let stopped = upload(&fleet, "stopped", 1).await;
    actix_rt::time::sleep(STOPPED_TIME).await;
    let held = fleet.members[0].node.dump().memory;
    assert!(held.caller_bytes > LARGE_BYTES / 2, "{held:?}");
    let other = response(upload(&fleet, "other", 0).await).await;
    assert!(other.starts_with("http/1.1 200 "), "{other}");
    let refused = response(stopped).await;
    assert!(refused.starts_with("http/1.1 503 "), "{refused}");
    for field in [
        "request-id: stopped",
        "retry-after: 0.5",
        "connection: close",
    ] {
        assert!(refused.contains(field), "{field}: {refused}");
    }
    assert_eq!(fleet.members[0].upstream.ids(), ["other"]);
    assert_eq!(fleet.members[0].node.dump().memory.given_up, 1);
}

/// Guards against a pipelined body that is not read to its end because memory became short meanwhile.
#[actix_rt::test]
async fn a_pipelined_request_that_has_begun_is_read_to_its_end() {
    let fleet = start_fleet().await;
    let address = fleet.members[0].listen.callers;
    let mut stream = TcpStream::connect(address).await.expect("an open listener");
    let head = |path: &str, id: &str, length: usize| {
        format!(
            "POST {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nTime-Limit-Ms: 9000\r\n\
             Content-Length: {length}\r\n\r\n"
        )
    };
    let body = vec![b'x'; 1_000_000];
    let start = head("/once/slow", "first", 0) + &head("/once/ok", "second", body.len());
    stream.write_all(start.as_bytes()).await.expect("sent");
    stream.write_all(&body[..1000]).await.expect("sent");
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let holder = upload(&fleet, "holder", 1).await;
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    stream.write_all(&body[1000..]).await.expect("sent");
    let mut text = String::new();
    while text.matches("HTTP/1.1 200 ").count() < 2 {
        let mut bytes = vec![0; 4096];
        let read = stream.read(&mut bytes).await.expect("a response");
        assert!(read > 0, "{text}");
        text += &String::from_utf8_lossy(&bytes[..read]);
    }
    drop(holder);
}
