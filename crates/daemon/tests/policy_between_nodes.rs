//! Policies between whole nodes on loopback, with a fake platform.

mod support;

use futures::future::LocalBoxFuture;
use lagoonshore_daemon::distribution::{
    digest_exchange, platform_watch, policy_offers::RefusalKind,
};
use lagoonshore_state::instance_table::InstanceRecord;
use lagoonshore_transport::{
    Result, TransportError,
    platform_reader::{PlatformReader, WatchReply},
};
use std::{cell::RefCell, rc::Rc, time::Duration};
use support::TestNode;

const SERVICE: &str = "medication-log";
const FIRST: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");
const SECOND: &str = include_str!("../../../examples/kocaeli/records-schema2/medication-log.yaml");

/// A platform that holds one record, or cannot be reached.
#[derive(Default)]
struct FakePlatform {
    record: RefCell<Option<String>>,
}

impl PlatformReader for FakePlatform {
    fn record<'a>(
        &'a self,
        name: &'a str,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply<Option<Vec<u8>>>>> {
        Box::pin(async move {
            let record = self.record.borrow().clone().ok_or_else(unreachable)?;
            let value = (name == SERVICE).then(|| record.into_bytes());
            Ok(WatchReply { index: 1, value })
        })
    }

    fn instances<'a>(
        &'a self,
        _: &'a str,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply<Vec<InstanceRecord>>>> {
        Box::pin(async { Err(unreachable()) })
    }
}

fn unreachable() -> TransportError {
    TransportError::TimedOut {
        address: support::address("127.0.0.1:1"),
    }
}

async fn node(zone: &str, records: &[&str]) -> TestNode {
    let upstream = support::upstream(|_| async { support::ok("ran") }).await;
    support::node(SERVICE, zone, upstream, records).await
}

fn start(node: &TestNode, platform: &Rc<FakePlatform>) {
    actix_rt::spawn(digest_exchange::run(node.node.clone()));
    actix_rt::spawn(platform_watch::run(node.node.clone(), Rc::clone(platform)));
}

fn revision(node: &TestNode) -> Option<u64> {
    node.node.policies.borrow().revision(SERVICE)
}

async fn until(holds: impl Fn() -> bool) {
    while !holds() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

fn fault(node: &TestNode) -> (RefusalKind, String) {
    let faults = node.node.refused_records.borrow();
    let fault = faults.get(SERVICE).expect("a fault");
    (fault.verdict, fault.message.clone())
}

#[actix_rt::test]
async fn a_new_node_refuses_as_starting_until_a_peer_gives_it_the_newest_record() {
    let (old, new) = (node("izmit", &[SECOND]).await, node("gebze", &[]).await);
    new.node.gossip.begin_startup(&new.node.settings);
    let refused = support::send(new.doors.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!(
        (refused.outcome.as_str(), refused.reason.as_str()),
        ("not-run", "starting")
    );
    support::introduce(&old, &new);
    let platform = Rc::new(FakePlatform::default());
    start(&old, &platform);
    start(&new, &platform);
    until(|| new.node.is_ready()).await;
    assert_eq!(revision(&new), Some(2));
    let answer = support::send(new.doors.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn in_a_half_moved_fleet_the_higher_revision_wins_whatever_its_schema() {
    let nodes = [
        node("izmit", &[FIRST]).await,
        node("gebze", &[SECOND]).await,
    ];
    let third = FIRST.replace("revision: 1", "revision: 3");
    let third = node("golcuk", &[&third]).await;
    support::introduce(&nodes[0], &nodes[1]);
    support::introduce(&nodes[1], &third);
    let platform = Rc::new(FakePlatform::default());
    platform.record.replace(Some(FIRST.to_owned()));
    for node in nodes.iter().chain([&third]) {
        start(node, &platform);
    }
    until(|| nodes.iter().all(|node| revision(node) == Some(3))).await;
    assert_eq!(revision(&third), Some(3));
}

#[actix_rt::test]
async fn refused_offers_are_named_with_their_line_and_leave_the_policy() {
    let node = node("izmit", &[SECOND]).await;
    let offer = |text: &str| {
        platform_watch::offer(&node.node, &SERVICE.into(), text.as_bytes());
        fault(&node)
    };
    let faults = [
        offer(FIRST),
        offer(&SECOND.replace("slots: 75", "slots: 74")),
        offer(&SECOND.replace("schema: 2", "schema: 3")),
        offer(&SECOND.replace("name: medication-log", "name: medicine")),
    ];
    insta::assert_debug_snapshot!(faults);
    assert_eq!(revision(&node), Some(2));
    assert_eq!(node.node.gossip.counters.borrow().refused, 4);
}
