//! The admin door: pages, and how a request would be treated.

mod support;

use lagoonshore_transport::http_listener::HttpRequest;
use support::TestNode;

const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");

async fn node(records: &[&str]) -> TestNode {
    let upstream = support::upstream(|_: HttpRequest| async { support::ok("ran") }).await;
    support::node("medication-log", "izmit", upstream, records).await
}

#[actix_rt::test]
async fn a_request_is_explained_without_running_it() {
    let node = node(&[MEDICATION]).await;
    let page = "/explain/medication-log/POST/doses/17";
    let answer = support::send(node.doors.admin, "GET", page, &[], "").await;
    insta::assert_snapshot!(answer.body, @r#"{"service":"medication-log","revision":1,"class":"dose-entry","listed":true,"importance":0,"idempotent":false,"timeout_ms":2000,"lane":"short","lane_share":1.0,"retries":2}"#);
    assert_eq!(node.node.counters.borrow().offered, 0);
}

#[actix_rt::test]
async fn a_service_without_policy_is_named() {
    let node = node(&[]).await;
    let page = "/explain/medication-log/POST/doses/17";
    let answer = support::send(node.doors.admin, "GET", page, &[], "").await;
    assert_eq!(answer.status, 404);
    insta::assert_snapshot!(answer.body, @r#"{"problem":"no policy is in force for medication-log"}"#);
}

#[actix_rt::test]
async fn the_admin_door_only_reads() {
    let node = node(&[MEDICATION]).await;
    let answer = support::send(node.doors.admin, "POST", "/state", &[], "").await;
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (405, "only GET is served here\n")
    );
}
