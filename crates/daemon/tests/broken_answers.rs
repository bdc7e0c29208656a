//! An answer is relayed whole or not at all.

mod keyed_support;
mod support;

use keyed_support::{RECORD, offer, post, raw_upstream};
use rstest::rstest;

#[rstest]
#[case::short(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ndose")]
#[case::cut_between_chunks(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndose\r\n")]
#[case::cut_in_a_chunk(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ndose")]
#[case::unframed(b"HTTP/1.1 200 OK\r\n\r\ndose")]
#[case::old_unframed(b"HTTP/1.0 200 OK\r\n\r\ndose")]
#[actix_rt::test]
async fn an_answer_that_is_not_whole_is_unknown_and_never_run_again(#[case] bytes: &'static [u8]) {
    let (upstream, requests) = raw_upstream(bytes).await;
    let node = support::node("medication-log", "izmit", upstream, &[RECORD]).await;
    let key = offer(&node).await;
    for _ in 0..2 {
        let answer = post(node.doors.inbound, "/doses/7", &key, "5 ml").await;
        answer.assert_verdict(502, "unknown broken-answer");
        assert!(!answer.body.windows(4).any(|part| part == b"dose"));
    }
    assert_eq!(requests.get(), 1);
}

#[rstest]
#[case::nothing(b"")]
#[case::cut_head(b"HTTP/1.1 200 OK\r\ncontent-len")]
#[actix_rt::test]
async fn an_upstream_that_closes_before_its_answer_may_have_run(#[case] bytes: &'static [u8]) {
    let (upstream, requests) = raw_upstream(bytes).await;
    let node = support::node("medication-log", "izmit", upstream, &[RECORD]).await;
    let key = offer(&node).await;
    for _ in 0..2 {
        let answer = post(node.doors.inbound, "/doses/7", &key, "5 ml").await;
        answer.assert_verdict(502, "unknown connection-lost");
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
async fn a_whole_answer_is_relayed(#[case] bytes: &'static [u8], #[case] body: &str) {
    let (upstream, _) = raw_upstream(bytes).await;
    let node = support::node("medication-log", "izmit", upstream, &[RECORD]).await;
    let key = offer(&node).await;
    let answer = post(node.doors.inbound, "/doses/7", &key, "5 ml").await;
    answer.assert_body(body);
}

#[actix_rt::test]
async fn an_answer_without_a_body_is_whole() {
    let (upstream, _) = raw_upstream(b"HTTP/1.1 204 No Content\r\n\r\n").await;
    let node = support::node("medication-log", "izmit", upstream, &[RECORD]).await;
    let key = offer(&node).await;
    let answer = post(node.doors.inbound, "/doses/7", &key, "5 ml").await;
    answer.assert_verdict(204, "ran");
}
