//! Requests through one and two nodes on loopback: complete responses, and refusals that report a
//! request as not run only when it did not run.

mod support;

use lagoonshore_daemon::distribution::platform_watch;
use lagoonshore_transport::http_listener::HttpRequest;
use support::{TestNode, TestResponse};

const PORTAL: &str = include_str!("../../../examples/kocaeli/records/diary-portal.yaml");
const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");

async fn start_medication() -> TestNode {
    let upstream = support::start_upstream(|request: HttpRequest| async move {
        support::ok_response(&format!("dose {}", request.path))
    });
    support::start_node("medication-log", "izmit", upstream.await, &[MEDICATION]).await
}

#[actix_rt::test]
async fn a_call_passes_two_nodes_and_returns_the_whole_response() {
    let medication = start_medication().await;
    let (outbound_sender, outbound) = tokio::sync::watch::channel(None);
    let portal = support::start_upstream(move |request: HttpRequest| {
        let outbound = outbound.borrow().expect("the node has started");
        async move {
            let call = lagoonshore_protocol::headers::find(&request.headers, "lagoonshore-call");
            let call = call.expect("the request has a call id").to_owned();
            let headers = [
                ("host", "medication-log"),
                ("lagoonshore-call", call.as_str()),
            ];
            let child = support::send(outbound, "GET", &request.path, &headers, "").await;
            support::ok_response(&format!(
                "portal({} {} {})",
                child.status, child.outcome, child.body
            ))
        }
    });
    let portal =
        support::start_node("diary-portal", "izmit", portal.await, &[PORTAL, MEDICATION]).await;
    outbound_sender.send_replace(Some(portal.addresses.outbound));
    support::add_instance(&portal, &medication);
    let response = support::send(portal.addresses.inbound, "GET", "/day/7", &[], "").await;
    insta::assert_debug_snapshot!(response, @r#"
    TestResponse {
        status: 200,
        outcome: "ran",
        reason: "",
        body: "portal(200 ran dose /day/7)",
    }
    "#);
}

#[actix_rt::test]
async fn without_a_policy_a_request_is_refused_as_not_run() {
    let upstream = support::start_upstream(|_| async { support::ok_response("ran") }).await;
    let node = support::start_node("medication-log", "izmit", upstream, &[]).await;
    let response = support::send(node.addresses.inbound, "GET", "/day/7", &[], "").await;
    assert_refusal(&response, 503, "not-run", "no-policy");
}

#[actix_rt::test]
async fn a_request_for_an_upstream_that_refuses_connections_is_not_run() {
    let closed = support::parse_address("127.0.0.1:1");
    let node = support::start_node("medication-log", "izmit", closed, &[MEDICATION]).await;
    let response = support::send(node.addresses.inbound, "GET", "/day/7", &[], "").await;
    assert_refusal(&response, 503, "not-run", "no-instance");
}

#[actix_rt::test]
async fn a_body_above_the_limit_is_refused_as_not_run() {
    let node = start_medication().await;
    let body = "x".repeat(2 * 1024 * 1024);
    let response = support::send(node.addresses.inbound, "POST", "/doses/7", &[], &body).await;
    assert_refusal(&response, 413, "not-run", "too-large");
}

#[actix_rt::test]
async fn a_refusal_names_the_invalid_timeout_header() {
    let node = start_medication().await;
    let headers = [("lagoonshore-timeout-ms", "soon")];
    let response = support::send(node.addresses.inbound, "GET", "/day/7", &headers, "").await;
    assert_refusal(&response, 400, "not-run", "bad-request");
    assert!(
        response.body.contains("Lagoonshore-Timeout-Ms"),
        "{}",
        response.body
    );
}

#[actix_rt::test]
async fn a_malformed_record_leaves_the_policy_in_force() {
    let node = start_medication().await;
    let malformed = MEDICATION
        .replace("revision: 1", "revision: 2")
        .replace("idempotent: true", "idem: 1");
    platform_watch::offer(&node.node, &"medication-log".into(), malformed.as_bytes());
    let revision = node.node.policies.borrow().revision("medication-log");
    let refused_record = node
        .node
        .refused_records
        .borrow()
        .get("medication-log")
        .cloned()
        .expect("a refused record");
    assert_eq!(revision, Some(1));
    assert!(
        refused_record.message.starts_with("line 14, column 78: "),
        "{}",
        refused_record.message
    );
    let response = support::send(node.addresses.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!(response.status, 200);
}

#[actix_rt::test]
async fn the_error_for_a_port_in_use_names_the_listener() {
    let node = start_medication().await;
    let used_address = node.addresses.admin;
    let error = lagoonshore_transport::http_listener::listen("admin", used_address)
        .await
        .expect_err("the port is in use");
    let message = error.to_string();
    assert!(
        message.starts_with(&format!(
            "cannot listen on {used_address} for the admin door"
        )),
        "{message}"
    );
}

fn assert_refusal(response: &TestResponse, status: u16, outcome: &str, reason: &str) {
    let found = (
        response.status,
        response.outcome.as_str(),
        response.reason.as_str(),
    );
    assert_eq!(found, (status, outcome, reason), "{response:?}");
}
