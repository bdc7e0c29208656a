//! A response is relayed completely or not at all.
//!
//! An upstream that dies while it writes leaves a body shorter than its length, or chunks without
//! an end. The caller must not get the part that arrived, and since the request may have run, its
//! key must not run a second time.

mod keyed_support;
mod support;

use keyed_support::{RECORD, post, request_key, start_raw_upstream};
use rstest::rstest;

#[rstest]
#[case::short_body(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ndose")]
#[case::truncated_between_chunks(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndose\r\n"
)]
#[case::truncated_in_a_chunk(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ndose")]
#[case::unframed(b"HTTP/1.1 200 OK\r\n\r\ndose")]
#[case::http_1_0_unframed(b"HTTP/1.0 200 OK\r\n\r\ndose")]
#[actix_rt::test]
async fn an_incomplete_response_is_unknown_and_its_request_never_runs_again(
    #[case] bytes: &'static [u8],
) {
    let (upstream, requests) = start_raw_upstream(bytes).await;
    let node = support::start_node("medication-log", "izmit", upstream, &[RECORD]).await;
    let key = request_key(&node).await;
    for _ in 0..2 {
        let response = post(node.addresses.inbound, "/doses/7", &key, "5 ml").await;
        response.assert_outcome(502, "unknown broken-answer");
        assert!(!response.body.windows(4).any(|part| part == b"dose"));
    }
    assert_eq!(requests.get(), 1);
}

#[rstest]
#[case::no_bytes(b"")]
#[case::truncated_head(b"HTTP/1.1 200 OK\r\ncontent-len")]
#[actix_rt::test]
async fn a_connection_closed_before_the_response_leaves_the_outcome_unknown(
    #[case] bytes: &'static [u8],
) {
    let (upstream, requests) = start_raw_upstream(bytes).await;
    let node = support::start_node("medication-log", "izmit", upstream, &[RECORD]).await;
    let key = request_key(&node).await;
    for _ in 0..2 {
        let response = post(node.addresses.inbound, "/doses/7", &key, "5 ml").await;
        response.assert_outcome(502, "unknown connection-lost");
    }
    assert_eq!(requests.get(), 1);
}

#[actix_rt::test]
async fn a_response_without_a_valid_status_is_not_relayed() {
    let bytes = b"HTTP/1.1 000 x\r\ncontent-length: 4\r\n\r\ndose";
    let (upstream, requests) = start_raw_upstream(bytes).await;
    let node = support::start_node("medication-log", "izmit", upstream, &[RECORD]).await;
    let key = request_key(&node).await;
    for _ in 0..2 {
        let response = post(node.addresses.inbound, "/doses/7", &key, "5 ml").await;
        response.assert_outcome(502, "unknown connection-lost");
    }
    assert_eq!(requests.get(), 1);
}

#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndose", "dose")]
#[case::chunked(
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndose\r\n0\r\n\r\n",
    "dose"
)]
#[case::empty(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "")]
#[actix_rt::test]
async fn a_complete_response_is_relayed(#[case] bytes: &'static [u8], #[case] body: &str) {
    let (upstream, _) = start_raw_upstream(bytes).await;
    let node = support::start_node("medication-log", "izmit", upstream, &[RECORD]).await;
    let key = request_key(&node).await;
    let response = post(node.addresses.inbound, "/doses/7", &key, "5 ml").await;
    response.assert_body(body);
}

#[actix_rt::test]
async fn a_response_without_a_body_is_complete() {
    let (upstream, _) = start_raw_upstream(b"HTTP/1.1 204 No Content\r\n\r\n").await;
    let node = support::start_node("medication-log", "izmit", upstream, &[RECORD]).await;
    let key = request_key(&node).await;
    let response = post(node.addresses.inbound, "/doses/7", &key, "5 ml").await;
    response.assert_outcome(204, "ran");
}
