//! The whole path through nodes on loopback: whole answers, honest refusals, bad input.

mod support;

use lagoonshore_daemon::distribution::platform_watch;
use lagoonshore_transport::http_listener::HttpRequest;
use support::{TestAnswer, TestNode};

const PORTAL: &str = include_str!("../../../examples/kocaeli/records/diary-portal.yaml");
const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");

async fn medication() -> TestNode {
    let upstream = support::upstream(|request: HttpRequest| async move {
        support::ok(&format!("dose {}", request.path))
    });
    support::node("medication-log", "izmit", upstream.await, &[MEDICATION]).await
}

#[actix_rt::test]
async fn a_call_passes_two_nodes_and_its_answer_comes_back_whole() {
    let medication = medication().await;
    let (outbound_sender, outbound) = tokio::sync::watch::channel(None);
    let portal = support::upstream(move |request: HttpRequest| {
        let outbound = outbound.borrow().expect("the node has started");
        async move {
            let call = lagoonshore_protocol::headers::find(&request.headers, "lagoonshore-call");
            let call = call.expect("a call id").to_owned();
            let headers = [
                ("host", "medication-log"),
                ("lagoonshore-call", call.as_str()),
            ];
            let child = support::send(outbound, "GET", &request.path, &headers, "").await;
            support::ok(&format!(
                "portal({} {} {})",
                child.status, child.outcome, child.body
            ))
        }
    });
    let portal = support::node("diary-portal", "izmit", portal.await, &[PORTAL, MEDICATION]).await;
    outbound_sender.send_replace(Some(portal.doors.outbound));
    support::introduce(&portal, &medication);
    let answer = support::send(portal.doors.inbound, "GET", "/day/7", &[], "").await;
    insta::assert_debug_snapshot!(answer, @r#"
    TestAnswer {
        status: 200,
        outcome: "ran",
        reason: "",
        body: "portal(200 ran dose /day/7)",
    }
    "#);
}

#[actix_rt::test]
async fn without_a_policy_a_request_is_refused_as_not_run() {
    let upstream = support::upstream(|_| async { support::ok("ran") }).await;
    let node = support::node("medication-log", "izmit", upstream, &[]).await;
    let answer = support::send(node.doors.inbound, "GET", "/day/7", &[], "").await;
    assert_refusal(&answer, 503, "not-run", "no-policy");
}

#[actix_rt::test]
async fn an_upstream_that_refuses_connections_is_not_run() {
    let closed = support::address("127.0.0.1:1");
    let node = support::node("medication-log", "izmit", closed, &[MEDICATION]).await;
    let answer = support::send(node.doors.inbound, "GET", "/day/7", &[], "").await;
    assert_refusal(&answer, 503, "not-run", "no-instance");
}

#[actix_rt::test]
async fn a_body_above_the_bound_is_refused_as_not_run() {
    let node = medication().await;
    let body = "x".repeat(2 * 1024 * 1024);
    let answer = support::send(node.doors.inbound, "POST", "/doses/7", &[], &body).await;
    assert_refusal(&answer, 413, "not-run", "too-large");
}

#[actix_rt::test]
async fn a_bad_timeout_header_is_refused_with_its_name() {
    let node = medication().await;
    let headers = [("lagoonshore-timeout-ms", "soon")];
    let answer = support::send(node.doors.inbound, "GET", "/day/7", &headers, "").await;
    assert_refusal(&answer, 400, "not-run", "bad-request");
    assert!(
        answer.body.contains("Lagoonshore-Timeout-Ms"),
        "{}",
        answer.body
    );
}

#[actix_rt::test]
async fn a_malformed_record_leaves_the_policy_in_force() {
    let node = medication().await;
    let torn = MEDICATION
        .replace("revision: 1", "revision: 2")
        .replace("idempotent: true", "idem: 1");
    platform_watch::offer(&node.node, &"medication-log".into(), torn.as_bytes());
    let revision = node.node.policies.borrow().revision("medication-log");
    let fault = node
        .node
        .refused_records
        .borrow()
        .get("medication-log")
        .cloned()
        .expect("a fault");
    assert_eq!(revision, Some(1));
    assert!(
        fault.message.starts_with("line 14, column 78: "),
        "{}",
        fault.message
    );
    let answer = support::send(node.doors.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn a_door_whose_port_is_in_use_is_named() {
    let node = medication().await;
    let taken = node.doors.admin;
    let failure = lagoonshore_transport::http_listener::listen("admin", taken)
        .await
        .expect_err("taken");
    let message = failure.to_string();
    assert!(
        message.starts_with(&format!("cannot listen on {taken} for the admin listener")),
        "{message}"
    );
}

fn assert_refusal(answer: &TestAnswer, status: u16, outcome: &str, reason: &str) {
    let found = (
        answer.status,
        answer.outcome.as_str(),
        answer.reason.as_str(),
    );
    assert_eq!(found, (status, outcome, reason), "{answer:?}");
}
