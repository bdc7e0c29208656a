//! Whole nodes on loopback whose upstreams crash.

mod keyed_support;
mod support;

#[path = "support/crashing_upstream.rs"]
mod crashing_upstream;

use crashing_upstream::{CrashingUpstream, POISON};
use keyed_support::CutRelay;
use lagoonshore_coordination::{
    protection::suspects::{QUARANTINE_TIME, SUSPECTS_MAX, SuspectCounts, SuspectReport},
    retries::SharedTokens,
};
use lagoonshore_daemon::{
    calling::{call_router, routed_call::RoutedCall},
    protection::crash_response,
};
use lagoonshore_protocol::messages::{CallRequest, CallResult, MessageStamp};
use lagoonshore_state::units::{RequestImportance, TokenCount};
use std::time::Duration;
use support::{TestAnswer, TestNode};
use tokio::time::Instant;

const PORTAL: &str = include_str!("../../../examples/kocaeli/records/diary-portal.yaml");
const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");
const ZONES: [&str; 3] = ["izmit", "gebze", "golcuk"];

/// Three nodes of one service that know each other, each beside an upstream of its own.
async fn fleet() -> Vec<(TestNode, CrashingUpstream)> {
    let mut fleet = Vec::new();
    for zone in ZONES {
        let upstream = CrashingUpstream::start();
        let node = support::node("medication-log", zone, upstream.address, &[MEDICATION]).await;
        fleet.push((node, upstream));
    }
    for (from, _) in &fleet {
        for (to, _) in &fleet {
            support::introduce(from, to);
        }
    }
    fleet
}

async fn portal() -> TestNode {
    let idle = support::upstream(|_| async { support::ok("") }).await;
    support::node("diary-portal", "izmit", idle, &[PORTAL, MEDICATION]).await
}

async fn poison(node: &TestNode) -> TestAnswer {
    support::send(node.doors.inbound, "GET", "/reports/7", &[], POISON).await
}

fn crashes(fleet: &[(TestNode, CrashingUpstream)]) -> u32 {
    fleet.iter().map(|(_, upstream)| upstream.crashes()).sum()
}

fn counts(node: &TestNode) -> SuspectCounts {
    node.node
        .protection
        .suspects
        .borrow()
        .counts(Instant::now())
}

#[actix_rt::test]
async fn a_poison_that_its_caller_resends_crashes_two_upstreams_and_no_more() {
    let fleet = fleet().await;
    let mut seen = Vec::new();
    for (node, _) in fleet.iter().chain(&fleet) {
        let answer = poison(node).await;
        seen.push(format!("{} {}", answer.outcome, answer.reason));
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
    assert_eq!(crashes(&fleet), 2);
    let (unharmed, _) = &fleet[2];
    let answer = support::send(unharmed.doors.inbound, "GET", "/day/8", &[], "").await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "/day/8"));
}

#[actix_rt::test]
async fn retries_of_the_router_crash_two_upstreams_and_no_more() {
    let fleet = fleet().await;
    let portal = portal().await;
    for (node, _) in &fleet {
        support::introduce(&portal, node);
    }
    for _ in 0..4 {
        route(&portal, "/reports/7", POISON).await;
    }
    assert_eq!(crashes(&fleet), 2);
    assert_eq!(counts(&portal).quarantined, 1);
}

/// Routes an idempotent call of the portal's upstream, with tokens for every retry.
async fn route(portal: &TestNode, path: &str, body: &'static str) -> CallResult {
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
        crashes: 0,
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
async fn a_call_whose_link_broke_runs_alone_elsewhere() {
    let upstream = CrashingUpstream::start();
    let other = support::node("medication-log", "gebze", upstream.address, &[MEDICATION]).await;
    let lost = support::node("medication-log", "izmit", upstream.address, &[MEDICATION]).await;
    let portal = portal().await;
    support::introduce(&portal, &other);
    support::introduce(&portal, &lost);
    // In the portal's own zone stands an instance whose link breaks while it runs the call.
    let relay = CutRelay::start(lost.doors.peer).await;
    let key = portal.node.instances.borrow().find("medication-log-izmit");
    let record = portal
        .node
        .instances
        .borrow()
        .get(key.expect("listed"))
        .cloned();
    let mut record = record.expect("a record");
    record.peer = relay.address;
    portal.node.instances.borrow_mut().upsert(record);
    let calling = actix_rt::spawn(async move { route(&portal, "/reports/held", "").await });
    support::until(|| upstream.runs() == 1).await;
    relay.cut();
    support::until(|| upstream.runs() == 2).await;
    assert_eq!(counts(&other).alone, 1);
    upstream.release(2);
    let reply = calling.await.expect("the call ends");
    assert!(matches!(reply, CallResult::Answered(_)), "{reply:?}");
    assert_eq!(counts(&other).alone, 0);
}

#[actix_rt::test]
async fn innocents_beside_a_poison_run_alone_and_are_free_again() {
    let fleet = fleet().await;
    let (first, crashing) = &fleet[0];
    let beside = actix_rt::spawn(view(first.doors.inbound, "/reports/held"));
    support::until(|| crashing.runs() == 1).await;
    let answer = poison(first).await;
    assert_eq!(answer.reason, "connection-lost");
    let lost = beside.await.expect("the request ends");
    assert_eq!(lost.outcome, "unknown");
    let (second, upstream) = &fleet[1];
    assert_eq!(counts(second).alone, 2);
    // Alone: the innocent waits until nothing else is in progress.
    let other = actix_rt::spawn(view(second.doors.inbound, "/reports/other-held"));
    support::until(|| upstream.runs() == 1).await;
    let resent = actix_rt::spawn(view(second.doors.inbound, "/reports/held"));
    support::until(|| second.node.gate.load().in_progress == 2).await;
    upstream.release(1);
    assert_eq!(other.await.expect("the request ends").status, 200);
    support::until(|| upstream.runs() == 2).await;
    let held_back = actix_rt::spawn(view(second.doors.inbound, "/reports/9"));
    support::until(|| second.node.gate.load().in_progress == 2).await;
    assert_eq!(upstream.runs(), 2);
    upstream.release(1);
    assert_eq!(resent.await.expect("the request ends").status, 200);
    assert_eq!(held_back.await.expect("the request ends").status, 200);
    assert_eq!(counts(second).alone, 1);
    assert_eq!(crashes(&fleet), 1);
}

async fn view(door: std::net::SocketAddr, path: &'static str) -> TestAnswer {
    let headers = [("lagoonshore-timeout-ms", "60000")];
    support::send(door, "GET", path, &headers, "").await
}

#[actix_rt::test]
async fn after_its_quarantine_a_poison_crashes_one_upstream_and_is_refused_again() {
    let fleet = fleet().await;
    let answer = poison(&fleet[0].0).await;
    assert_eq!(answer.outcome, "unknown");
    let fingerprint = fleet[0]
        .0
        .node
        .protection
        .suspects
        .borrow()
        .reports(Instant::now())[0]
        .fingerprint;
    // The nodes learned of the second crash long ago: the quarantine is over.
    let long_ago = Instant::now() - QUARANTINE_TIME - Duration::from_secs(1);
    let conviction = SuspectReport {
        fingerprint,
        crashes: 2,
    };
    for (node, _) in &fleet {
        node.node
            .protection
            .suspects
            .borrow_mut()
            .merge(long_ago, conviction);
    }
    let answer = poison(&fleet[1].0).await;
    assert_eq!((answer.outcome.as_str(), crashes(&fleet)), ("unknown", 2));
    let answer = poison(&fleet[2].0).await;
    assert_eq!(answer.reason, "quarantined");
    assert_eq!(crashes(&fleet), 2);
}

#[actix_rt::test]
async fn a_request_given_up_before_the_crash_is_a_suspect_too() {
    let fleet = fleet().await;
    let (node, upstream) = &fleet[0];
    let headers = [("lagoonshore-timeout-ms", "50")];
    let answer = support::send(node.doors.inbound, "GET", "/day/held", &headers, "").await;
    assert_eq!(answer.reason, "timeout");
    upstream.kill();
    actix_rt::spawn(lagoonshore_daemon::protection::health_probe::run(
        node.node.clone(),
    ));
    support::until(|| counts(&fleet[2].0).alone == 1).await;
}

#[actix_rt::test]
async fn a_restart_of_the_upstream_is_a_cold_start() {
    let fleet = fleet().await;
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
    let answer = poison(node).await;
    assert_eq!(answer.reason, "connection-lost");
    let answer = support::send(node.doors.inbound, "GET", "/day/8", &[], "").await;
    assert_eq!(answer.status, 200, "another instance answers");
    let _restarted = upstream.restart();
    support::until(|| starts.get() == 1).await;
    probing.abort();
}

#[actix_rt::test]
async fn a_flood_of_reports_stays_within_bounds() {
    let fleet = fleet().await;
    let (node, _) = &fleet[0];
    let flood = (0..50_000).map(|fingerprint| SuspectReport {
        fingerprint,
        crashes: 1,
    });
    crash_response::merge(&node.node, flood);
    let answer = support::send(node.doors.admin, "GET", "/state", &[], "").await;
    let held = counts(node).held;
    assert!(held <= SUSPECTS_MAX, "{held}");
    assert!(answer.body.len() < 64 * 1024, "{}", answer.body.len());
}
