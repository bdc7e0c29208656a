//! Quarantine of requests that crash upstreams, on whole nodes on loopback.
//!
//! A request that crashes its upstream and is retried, by its caller or by a node, would crash one
//! instance after another. Every request in progress at a crash is a suspect and runs alone until
//! it succeeds; after two crashes its fingerprint is quarantined on all nodes.

mod keyed_support;
mod support;

#[path = "support/crashing_upstream.rs"]
mod crashing_upstream;

use crashing_upstream::{CrashingUpstream, POISON};
use keyed_support::TcpProxy;
use lagoonshore_coordination::{
    protection::{
        crash_set::{CrashId, CrashReport},
        suspects::{QUARANTINE_TIME, SUSPECTS_MAX, SuspectCounts, SuspectReport},
    },
    retries::SharedTokens,
};
use lagoonshore_daemon::{
    calling::{call_router, routed_call::RoutedCall},
    protection::crash_response,
};
use lagoonshore_protocol::messages::{CallRequest, CallResult, MessageStamp};
use lagoonshore_state::units::{RequestImportance, TokenCount, whole_millis};
use std::time::Duration;
use support::{TestNode, TestResponse};
use tokio::time::Instant;

const PORTAL: &str = include_str!("../../../examples/kocaeli/records/diary-portal.yaml");
const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");
const ZONES: [&str; 3] = ["izmit", "gebze", "golcuk"];

/// Starts a node of one service in each zone, each with its local upstream; all know each other.
async fn start_fleet() -> Vec<(TestNode, CrashingUpstream)> {
    let mut fleet = Vec::new();
    for zone in ZONES {
        let upstream = CrashingUpstream::start();
        let node =
            support::start_node("medication-log", zone, upstream.address, &[MEDICATION]).await;
        fleet.push((node, upstream));
    }
    for (from, _) in &fleet {
        for (to, _) in &fleet {
            support::add_instance(from, to);
        }
    }
    fleet
}

async fn start_portal() -> TestNode {
    let unused = support::start_upstream(|_| async { support::ok_response("") }).await;
    support::start_node("diary-portal", "izmit", unused, &[PORTAL, MEDICATION]).await
}

async fn send_poison(node: &TestNode) -> TestResponse {
    support::send(node.addresses.inbound, "GET", "/reports/7", &[], POISON).await
}

fn count_crashes(fleet: &[(TestNode, CrashingUpstream)]) -> u32 {
    fleet.iter().map(|(_, upstream)| upstream.crashes()).sum()
}

fn suspect_counts(node: &TestNode) -> SuspectCounts {
    node.node
        .protection
        .suspects
        .borrow()
        .counts(Instant::now())
}

#[actix_rt::test]
async fn a_poison_request_that_its_caller_retries_crashes_at_most_two_upstreams() {
    let fleet = start_fleet().await;
    let mut seen = Vec::new();
    for (node, _) in fleet.iter().chain(&fleet) {
        let response = send_poison(node).await;
        seen.push(format!("{} {}", response.outcome, response.reason));
    }
    let expected = [
        "unknown connection-lost",
        "unknown connection-lost",
        "not-run quarantined",
        "not-run quarantined",
        "not-run quarantined",
        "not-run quarantined",
    ];
    assert_eq!(seen, expected);
    assert_eq!(count_crashes(&fleet), 2);
    let (healthy, _) = &fleet[2];
    let response = support::send(healthy.addresses.inbound, "GET", "/day/8", &[], "").await;
    assert_eq!((response.status, response.body.as_str()), (200, "/day/8"));
}

#[actix_rt::test]
async fn retries_by_the_router_crash_at_most_two_upstreams() {
    let fleet = start_fleet().await;
    let portal = start_portal().await;
    for (node, _) in &fleet {
        support::add_instance(&portal, node);
    }
    for _ in 0..4 {
        route_call(&portal, "/reports/7", POISON).await;
    }
    assert_eq!(count_crashes(&fleet), 2);
    assert_eq!(suspect_counts(&portal).quarantined, 1);
}

/// Routes an idempotent call of the portal's upstream, with enough tokens for every retry.
async fn route_call(portal: &TestNode, path: &str, body: &'static str) -> CallResult {
    let request = CallRequest {
        service: "medication-log".into(),
        method: "GET".into(),
        path: path.into(),
        headers: Vec::new(),
        body: body.into(),
        importance: RequestImportance(3),
        caller: 0,
        tokens: TokenCount(0),
        key: None,
        stamp: MessageStamp::default(),
        crashes: Vec::new(),
    };
    let call = RoutedCall {
        request,
        deadline: Instant::now() + Duration::from_mins(1),
        idempotent: true,
        parent_class: None,
        tried: Vec::new(),
    };
    call_router::route(&portal.node, call, &SharedTokens::new(TokenCount(8))).await
}

#[actix_rt::test]
async fn a_call_whose_link_broke_is_retried_alone_on_another_node() {
    let upstream = CrashingUpstream::start();
    let other =
        support::start_node("medication-log", "gebze", upstream.address, &[MEDICATION]).await;
    let disconnected =
        support::start_node("medication-log", "izmit", upstream.address, &[MEDICATION]).await;
    let portal = start_portal().await;
    support::add_instance(&portal, &other);
    support::add_instance(&portal, &disconnected);
    // The call goes first to the instance in the portal's own zone, whose link breaks while it runs
    // the call.
    let proxy = TcpProxy::start(disconnected.addresses.peer).await;
    let key = portal.node.instances.borrow().find("medication-log-izmit");
    let record = portal
        .node
        .instances
        .borrow()
        .get(key.expect("the instance is listed"))
        .cloned();
    let mut record = record.expect("the key has a record");
    record.peer = proxy.address;
    portal.node.instances.borrow_mut().upsert(record);
    let calling = actix_rt::spawn(async move { route_call(&portal, "/reports/held", "").await });
    support::wait_until(|| upstream.runs() == 1).await;
    proxy.disconnect();
    support::wait_until(|| upstream.runs() == 2).await;
    assert_eq!(suspect_counts(&other).alone, 1);
    upstream.release(2);
    let reply = calling.await.expect("the call task ends");
    assert!(matches!(reply, CallResult::Answered(_)), "{reply:?}");
    assert_eq!(suspect_counts(&other).alone, 0);
}

#[actix_rt::test]
async fn requests_lost_beside_a_poison_request_run_alone_until_they_succeed() {
    let fleet = start_fleet().await;
    let (first, crashing) = &fleet[0];
    let beside = actix_rt::spawn(get(first.addresses.inbound, "/reports/held"));
    support::wait_until(|| crashing.runs() == 1).await;
    let response = send_poison(first).await;
    assert_eq!(response.reason, "connection-lost");
    let lost = beside.await.expect("the request task ends");
    assert_eq!(lost.outcome, "unknown");
    let (second, upstream) = &fleet[1];
    assert_eq!(suspect_counts(second).alone, 2);
    // A suspect runs alone: it waits until no other request is in progress and blocks later ones.
    let other = actix_rt::spawn(get(second.addresses.inbound, "/reports/other-held"));
    support::wait_until(|| upstream.runs() == 1).await;
    let retried = actix_rt::spawn(get(second.addresses.inbound, "/reports/held"));
    support::wait_until(|| second.node.gate.load().in_progress == 2).await;
    upstream.release(1);
    assert_eq!(other.await.expect("the request task ends").status, 200);
    support::wait_until(|| upstream.runs() == 2).await;
    let blocked = actix_rt::spawn(get(second.addresses.inbound, "/reports/9"));
    support::wait_until(|| second.node.gate.load().in_progress == 2).await;
    assert_eq!(upstream.runs(), 2);
    upstream.release(1);
    assert_eq!(retried.await.expect("the request task ends").status, 200);
    assert_eq!(blocked.await.expect("the request task ends").status, 200);
    assert_eq!(suspect_counts(second).alone, 1);
    assert_eq!(count_crashes(&fleet), 1);
}

/// A crash of another instance, `age` ago.
fn crash_report(number: u32, age: Duration) -> CrashReport {
    CrashReport {
        id: CrashId {
            instance: 1,
            number: Some(number),
        },
        age_ms: whole_millis(age),
        is_cleared: false,
    }
}

async fn get(address: std::net::SocketAddr, path: &'static str) -> TestResponse {
    let headers = [("lagoonshore-timeout-ms", "60000")];
    support::send(address, "GET", path, &headers, "").await
}

#[actix_rt::test]
async fn a_poison_request_released_from_quarantine_crashes_one_upstream_and_is_refused_again() {
    let fleet = start_fleet().await;
    let response = send_poison(&fleet[0].0).await;
    assert_eq!(response.outcome, "unknown");
    let reports = fleet[0]
        .0
        .node
        .protection
        .suspects
        .borrow()
        .reports(Instant::now());
    let [mut report] = reports.try_into().expect("one suspect");
    // The first crash and a second one were so long ago that the quarantine has ended.
    let age = QUARANTINE_TIME + Duration::from_secs(1);
    report.crashes[0].age_ms = whole_millis(age);
    report.crashes.push(crash_report(2, age));
    for (node, _) in &fleet {
        let mut suspects = node.node.protection.suspects.borrow_mut();
        suspects.merge(Instant::now(), &report);
    }
    let response = send_poison(&fleet[1].0).await;
    assert_eq!(
        (response.outcome.as_str(), count_crashes(&fleet)),
        ("unknown", 2)
    );
    let response = send_poison(&fleet[2].0).await;
    assert_eq!(response.reason, "quarantined");
    assert_eq!(count_crashes(&fleet), 2);
}

#[actix_rt::test]
async fn a_request_abandoned_before_the_crash_is_a_suspect() {
    let fleet = start_fleet().await;
    let (node, upstream) = &fleet[0];
    let headers = [("lagoonshore-timeout-ms", "50")];
    let response = support::send(node.addresses.inbound, "GET", "/day/held", &headers, "").await;
    assert_eq!(response.reason, "timeout");
    upstream.kill();
    actix_rt::spawn(lagoonshore_daemon::protection::health_probe::run(
        node.node.clone(),
    ));
    support::wait_until(|| suspect_counts(&fleet[2].0).alone == 1).await;
}

#[actix_rt::test]
async fn a_restart_of_the_upstream_is_a_cold_start() {
    let fleet = start_fleet().await;
    let (node, upstream) = &fleet[0];
    let starts = std::rc::Rc::new(std::cell::Cell::new(0));
    let seen = std::rc::Rc::clone(&starts);
    let hook = move |_| seen.set(seen.get() + 1);
    node.node
        .protection
        .add_cold_start_hook(std::rc::Rc::new(hook));
    let probing = actix_rt::spawn(lagoonshore_daemon::protection::health_probe::run(
        node.node.clone(),
    ));
    let response = send_poison(node).await;
    assert_eq!(response.reason, "connection-lost");
    let response = support::send(node.addresses.inbound, "GET", "/day/8", &[], "").await;
    assert_eq!(response.status, 200, "another instance responds");
    let _restarted = upstream.restart();
    support::wait_until(|| starts.get() == 1).await;
    probing.abort();
}

#[actix_rt::test]
async fn a_flood_of_suspect_reports_stays_within_its_limit() {
    let fleet = start_fleet().await;
    let (node, _) = &fleet[0];
    let flood = (0..50_000).map(|fingerprint| SuspectReport {
        fingerprint,
        crashes: vec![crash_report(1, Duration::ZERO)],
    });
    crash_response::merge(&node.node, flood);
    let response = support::send(node.addresses.admin, "GET", "/state", &[], "").await;
    let held = suspect_counts(node).held;
    assert!(held <= SUSPECTS_MAX, "{held}");
    assert!(response.body.len() < 64 * 1024, "{}", response.body.len());
}
