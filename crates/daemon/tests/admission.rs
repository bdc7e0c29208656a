//! Admission on whole nodes on loopback: early refusal, inherited importance and wasted time.
//!
//! When the called service is overloaded, requests admitted at the entry time out after they have
//! used slots on the way. The entry must refuse them before they run, and admit them again after
//! recovery.

mod support;

use lagoonshore_protocol::headers;
use lagoonshore_state::units::RequestImportance;
use lagoonshore_transport::http_listener::{HttpRequest, HttpResponse};
use std::{
    cell::{Cell, OnceCell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use support::{TestNode, TestResponse, stopped_clock::StoppedClock};
use tokio::sync::watch;

const PORTAL: &str = include_str!("../../../examples/kocaeli/records/diary-portal.yaml");
const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");
/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Polls after which a test fails because its condition was never met.
const POLLS_MAX: u32 = 2000;

/// Resolution of timers: one may fire this much after its deadline.
const TIMER_TICK: Duration = Duration::from_millis(1);

/// Number of requests that a fake upstream ran.
type RunCount = Rc<Cell<u32>>;
/// Paths of the requests that a fake upstream ran.
type RunPaths = Rc<RefCell<Vec<String>>>;

/// `TestChain` is two nodes, of which the first calls the second.
struct TestChain {
    portal: TestNode,
    portal_runs: RunCount,
    portal_paths: RunPaths,
    medication: TestNode,
    medication_runs: RunCount,
    /// Whether the upstream of the second node responds; it holds requests otherwise.
    can_answer: watch::Sender<bool>,
}

async fn start_chain(medication_record: &str) -> TestChain {
    let (can_answer, gate) = watch::channel(true);
    let medication_runs = RunCount::default();
    let runs = Rc::clone(&medication_runs);
    let upstream = support::start_upstream(move |_| {
        runs.set(runs.get() + 1);
        let mut gate = gate.clone();
        async move {
            let _ = gate.wait_for(|can_answer| *can_answer).await;
            support::ok_response("dose")
        }
    });
    let records = [medication_record];
    let medication = support::start_node("medication-log", "izmit", upstream.await, &records).await;
    let (outbound_sender, outbound) = watch::channel(None);
    let portal_runs = RunCount::default();
    let portal_paths = RunPaths::default();
    let (runs, paths) = (Rc::clone(&portal_runs), Rc::clone(&portal_paths));
    let upstream = support::start_upstream(move |request: HttpRequest| {
        runs.set(runs.get() + 1);
        paths.borrow_mut().push(request.path.to_string());
        let outbound = outbound.borrow().expect("the node has started");
        call_on(outbound, request)
    });
    let records = [PORTAL, medication_record];
    let portal = support::start_node("diary-portal", "izmit", upstream.await, &records).await;
    outbound_sender.send_replace(Some(portal.addresses.outbound));
    support::add_instance(&portal, &medication);
    TestChain {
        portal,
        portal_runs,
        portal_paths,
        medication,
        medication_runs,
        can_answer,
    }
}

async fn call_on(outbound: SocketAddr, request: HttpRequest) -> HttpResponse {
    let call = headers::find(&request.headers, headers::CALL).expect("the request has a call id");
    let fields = [("host", "medication-log"), (headers::CALL, call)];
    let child = support::send(outbound, &request.method, &request.path, &fields, "").await;
    let mut response = support::ok_response(&child.body);
    response.status = child.status;
    response
}

/// Returns a path that only `caller` requests.
fn day_path(caller: u32) -> String {
    format!("/day/{caller}")
}

async fn get_day(address: SocketAddr, caller: u32) -> TestResponse {
    let path = day_path(caller);
    let caller = format!("parent-{caller}");
    let fields = [(headers::CALLER, caller.as_str())];
    support::send(address, "GET", &path, &fields, "").await
}

#[actix_rt::test]
async fn requests_that_would_time_out_downstream_are_refused_at_the_entry_until_it_recovers() {
    let record = MEDICATION.replace("slots: 75", "slots: 1");
    let chain = start_chain(&record).await;
    let inbound = chain.portal.addresses.inbound;
    chain.can_answer.send_replace(false);
    let refused = Rc::new(RefCell::new(Vec::new()));
    let mut caller = 0;
    while refused.borrow().is_empty() {
        caller += 1;
        assert!(caller < POLLS_MAX, "no early refusal");
        let (refused, portal) = (Rc::clone(&refused), chain.portal.node.clone());
        actix_rt::spawn(async move {
            let response = get_day(inbound, caller).await;
            let is_early = portal.counters.borrow().refused_early > 0;
            if is_early && response.reason == "overload" && response.outcome == "not-run" {
                refused.borrow_mut().push(day_path(caller));
            }
        });
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let counters = chain.portal.node.counters.borrow().clone();
    // A dispatched request may be cancelled before it reaches the upstream, so fewer may run than
    // were dispatched; but no request that was refused early may run.
    assert!(u64::from(chain.portal_runs.get()) <= counters.dispatched);
    assert!(counters.dispatched <= counters.offered);
    let ran = chain.portal_paths.borrow().clone();
    for refused in refused.borrow().iter() {
        assert!(!ran.contains(refused), "{refused} was refused and ran");
    }
    chain.can_answer.send_replace(true);
    let mut polls = 0;
    while get_day(inbound, 1).await.status != 200 {
        polls += 1;
        assert!(
            polls < POLLS_MAX,
            "the admission level does not return to normal"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    assert!(chain.medication_runs.get() > 0);
}

#[actix_rt::test]
async fn a_caller_cannot_raise_its_importance_and_a_child_call_inherits_it() {
    let found = Rc::new(RefCell::new(Vec::new()));
    let node = Rc::new(OnceCell::<lagoonshore_daemon::node::SharedNode>::new());
    let (seen, shared) = (Rc::clone(&found), Rc::clone(&node));
    let upstream = support::start_upstream(move |request: HttpRequest| {
        let id = headers::find(&request.headers, headers::CALL).expect("the request has a call id");
        let id = id.parse().expect("the call id is a number");
        let calls = shared.get().expect("the node has started").calls.borrow();
        let importance = calls.get(id).map(|call| call.importance);
        seen.borrow_mut().push(importance);
        async { support::ok_response("dose") }
    });
    let records = [MEDICATION];
    let medication = support::start_node("medication-log", "izmit", upstream.await, &records).await;
    let _ = node.set(medication.node.clone());
    let (outbound_sender, outbound) = watch::channel(None);
    let upstream = support::start_upstream(move |request: HttpRequest| {
        let outbound = outbound.borrow().expect("the node has started");
        // A call of the more important dose entry keeps the importance of its parent, the day view.
        let request = HttpRequest {
            method: "POST".into(),
            path: "/doses/7".into(),
            ..request
        };
        call_on(outbound, request)
    });
    let records = [PORTAL, MEDICATION];
    let portal = support::start_node("diary-portal", "izmit", upstream.await, &records).await;
    outbound_sender.send_replace(Some(portal.addresses.outbound));
    support::add_instance(&portal, &medication);
    let fields = [
        ("lagoonshore-importance", "0"),
        (headers::CALL, "1"),
        ("x-importance", "0"),
    ];
    support::send(portal.addresses.inbound, "GET", "/day/7", &fields, "").await;
    assert_eq!(*found.borrow(), [Some(RequestImportance(3))]);
}

#[actix_rt::test]
async fn time_spent_on_failed_requests_is_counted_as_wasted() {
    let chain = start_chain(MEDICATION).await;
    let (portal, inbound) = (&chain.portal, chain.portal.addresses.inbound);
    let clock = StoppedClock::stop();
    let first = get_day(inbound, 1).await;
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(portal.node.counters.borrow().wasted_micros, 0);
    chain.can_answer.send_replace(false);
    let fields = [("lagoonshore-timeout-ms", "30")];
    let request =
        actix_rt::spawn(async move { support::send(inbound, "GET", "/day/7", &fields, "").await });
    let runs = &chain.medication_runs;
    clock
        .wait_until(|| runs.get() == 2 || request.is_finished())
        .await;
    clock.advance(Duration::from_millis(30) + TIMER_TICK).await;
    let response = request.await.expect("the request task ends");
    assert_eq!(response.reason, "timeout", "{response:?}");
    assert!(portal.node.counters.borrow().wasted_micros > 0);
    clock.release().await;
    let mut polls = 0;
    while chain.medication.node.counters.borrow().wasted_micros == 0 {
        polls += 1;
        assert!(polls < POLLS_MAX, "the called node counts no wasted time");
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let dump = support::send(portal.addresses.admin, "GET", "/state", &[], "").await;
    let fields = [
        "\"wasted_micros\":",
        "\"lanes\":",
        "\"costs\":",
        "\"level\":",
    ];
    let missing = fields.iter().find(|name| !dump.body.contains(**name));
    assert_eq!(missing, None, "{}", dump.body);
}

#[actix_rt::test]
async fn a_call_for_an_ended_request_is_refused_as_not_run() {
    let chain = start_chain(MEDICATION).await;
    let fields = [("host", "medication-log"), (headers::CALL, "999")];
    let outbound = chain.portal.addresses.outbound;
    let response = support::send(outbound, "GET", "/day/7", &fields, "").await;
    let found = (response.outcome.as_str(), response.reason.as_str());
    assert_eq!(found, ("not-run", "timeout"));
    assert_eq!(chain.medication_runs.get(), 0);
}
