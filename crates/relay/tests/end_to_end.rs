//! Requests through nodes, over real sockets: what callers receive and what upstreams see.

mod support;

use rstest::rstest;
use support::{ask, ask_raw, two_zones, until};

#[actix_rt::test]
async fn a_request_reaches_an_upstream_of_its_service_byte_for_byte() {
    let fleet = two_zones().await;
    let callers = fleet.members[0].listen.callers;
    let more = "X-Own: Kept\r\nConnection: x-hop\r\nX-Hop: gone\r\nOrigin-Service: forged\r\n";
    let response = ask(callers, "DELETE", "/b/%2e/x//ok?q=%20&p", "i1", more).await;
    assert_eq!((response.status, response.body.as_str()), (200, "body"));
    let seen = fleet.members[2].upstream.seen.borrow()[0].clone();
    assert_eq!(seen.method, "DELETE");
    assert_eq!(seen.target, "/b/%2e/x//ok?q=%20&p");
    assert!(seen.fields.contains("X-Own: Kept\r\n"));
    assert!(
        seen.fields.contains("origin-service: a\r\n"),
        "{}",
        seen.fields
    );
    assert!(!seen.fields.contains("forged") && !seen.fields.contains("gone"));
    assert!(seen.fields.contains("expected-instance: u2\r\n"));
}

/// Each fleet gets only one request: a late response on a busy machine would mark the local
/// upstream as slow, and the next request would correctly go to another zone.
#[actix_rt::test]
async fn the_own_zone_is_preferred() {
    for _ in 0..10 {
        let fleet = two_zones().await;
        fleet.ask("GET", "/a/ok", "i").await;
        assert_eq!(fleet.members[0].upstream.ids(), vec!["i"]);
    }
}

#[rstest]
#[case::late_response_to_another("/b/late", 200)]
#[case::surplus_response("/b/surplus", 200)]
#[case::no_length("/b/unframed", 200)]
#[case::cut_off("/b-once/cut", 502)]
#[case::unsigned_success("/b-once/unsigned", 502)]
#[case::closed_without_response("/b-once/drop", 502)]
#[case::failure_of_the_upstream("/b-once/fail", 500)]
#[case::not_run("/b-once/shed", 503)]
#[case::no_route("/c/ok", 404)]
#[actix_rt::test]
async fn only_complete_responses_to_the_own_request_are_relayed(
    #[case] path: &str,
    #[case] status: u16,
) {
    let fleet = two_zones().await;
    for id in ["i1", "i2"] {
        let response = fleet.ask("POST", path, id).await;
        assert_eq!(response.status, status, "{response:?}");
        let is_node_response = response.fields.contains("Lagoonshore-Reason");
        assert_eq!(
            is_node_response,
            status >= 404 && status != 500,
            "{response:?}"
        );
        if status == 200 {
            assert_eq!(response.body, "body");
            assert!(
                response.fields.contains(&format!("Request-Id: {id}")),
                "{response:?}"
            );
        }
        if status == 503 {
            assert!(response.fields.contains("Retry-After: "), "{response:?}");
        }
    }
}

#[actix_rt::test]
async fn pipelined_requests_are_served_together_and_answered_in_order() {
    let fleet = two_zones().await;
    let one = |path: &str, id: &str, close: &str| {
        format!("GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\n{close}\r\n")
    };
    let text = one("/a/slow", "i1", "")
        + &one("/a/ok", "i2", "")
        + &one("/a/slow", "i3", "Connection: close\r\n")
        + &one("/a/ok", "i4", "");
    let response = ask_raw(fleet.members[0].listen.callers, text.as_bytes()).await;
    let ids: Vec<&str> = response
        .lines()
        .filter_map(|line| line.strip_prefix("Request-Id: "))
        .collect();
    assert_eq!(ids, vec!["i1", "i2", "i3"], "{response}");
    let mut seen = fleet.members[0].upstream.ids();
    seen.sort();
    assert_eq!(
        seen,
        vec!["i1", "i2", "i3"],
        "requests after one with `Connection: close` are not relayed"
    );
}

#[rstest]
#[case::two_lengths(
    "POST /a/ok HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    400
)]
#[case::length_and_chunks(
    "POST /a/ok HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    400
)]
#[case::other_encoding("POST /a/ok HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400)]
#[case::absolute_target("GET http://h/a/ok HTTP/1.1\r\n\r\n", 400)]
#[case::not_http("\u{1}\u{2}\u{3}\r\n\r\n", 400)]
#[case::no_id("GET /a/ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 400)]
#[case::long_body("POST /a/ok HTTP/1.1\r\nContent-Length: 999999\r\n\r\n", 413)]
#[actix_rt::test]
async fn unreadable_requests_are_refused_and_reach_no_upstream(
    #[case] text: &str,
    #[case] status: u16,
) {
    let fleet = two_zones().await;
    let response = ask_raw(fleet.members[0].listen.callers, text.as_bytes()).await;
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    assert_eq!(fleet.members[0].upstream.ids().len(), 0);
}

#[actix_rt::test]
async fn a_chunked_body_is_relayed_as_one() {
    let fleet = two_zones().await;
    let text = "POST /b/ok HTTP/1.1\r\nHost: h\r\nRequest-Id: i\r\nTransfer-Encoding: chunked\r\n\
                Connection: close\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n";
    let response = ask_raw(fleet.members[0].listen.callers, text.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert_eq!(fleet.members[2].upstream.seen.borrow()[0].body, "abcde");
}

#[actix_rt::test]
async fn a_caller_that_disconnects_cancels_its_request_on_both_nodes() {
    let fleet = two_zones().await;
    let request = b"GET /b/never HTTP/1.1\r\nHost: h\r\nRequest-Id: i\r\n\r\n";
    let mut stream = actix_rt::net::TcpStream::connect(fleet.members[0].listen.callers)
        .await
        .expect("an open listener");
    tokio::io::AsyncWriteExt::write_all(&mut stream, request)
        .await
        .expect("sent");
    until(|| fleet.members[2].upstream.ids() == vec!["i"]).await;
    drop(stream);
    until(|| fleet.members[2].upstream.dropped.get() == 1).await;
    until(|| fleet.members[2].node.server.running() == 0).await;
}

#[actix_rt::test]
async fn the_admin_listener_serves_state_and_metrics() {
    let fleet = two_zones().await;
    let admin = fleet.members[0].listen.admin;
    fleet.ask("GET", "/b/ok", "i1").await;
    let state = ask(admin, "GET", "/state", "x", "").await;
    assert!(state.body.contains("\"version\": 1"), "{}", state.body);
    assert!(state.body.contains("\"name\": \"u2\""), "{}", state.body);
    assert_eq!(ask(admin, "GET", "/metrics", "x", "").await.status, 200);
    assert_eq!(ask(admin, "GET", "/other", "x", "").await.status, 404);
}
