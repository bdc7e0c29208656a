//! The admin listener explains how a request would be treated without running it, names a missing
//! policy and refuses every method but GET.

mod support;

use lagoonshore_transport::http_listener::HttpRequest;
use support::TestNode;

const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");

async fn start_node(records: &[&str]) -> TestNode {
    let upstream =
        support::start_upstream(|_: HttpRequest| async { support::ok_response("ran") }).await;
    support::start_node("medication-log", "izmit", upstream, records).await
}

#[actix_rt::test]
async fn a_request_is_explained_without_running_it() {
    let node = start_node(&[MEDICATION]).await;
    let page = "/explain/medication-log/POST/doses/17";
    let response = support::send(node.addresses.admin, "GET", page, &[], "").await;
    insta::assert_snapshot!(response.body, @r#"{"service":"medication-log","revision":1,"class":"dose-entry","listed":true,"importance":0,"idempotent":false,"timeout_ms":2000,"lane":"short","lane_share":1.0,"retries":2}"#);
    assert_eq!(node.node.counters.borrow().offered, 0);
}

#[actix_rt::test]
async fn a_service_without_a_policy_is_reported_by_name() {
    let node = start_node(&[]).await;
    let page = "/explain/medication-log/POST/doses/17";
    let response = support::send(node.addresses.admin, "GET", page, &[], "").await;
    assert_eq!(response.status, 404);
    insta::assert_snapshot!(response.body, @r#"{"problem":"no policy is in force for medication-log"}"#);
}

#[actix_rt::test]
async fn the_admin_listener_serves_only_get() {
    let node = start_node(&[MEDICATION]).await;
    let response = support::send(node.addresses.admin, "POST", "/state", &[], "").await;
    assert_eq!(
        (response.status, response.body.as_str()),
        (405, "only GET is served here\n")
    );
}
