//! Distribution of policy records between whole nodes on loopback, with a fake platform.
//!
//! A node that starts while the platform is unreachable must get its policy from a peer, and an
//! older or invalid record must never replace the policy in force, whichever source offers it.

mod support;

use futures::future::LocalBoxFuture;
use lagoonshore_daemon::{
    distribution::{digest_exchange, platform_watch},
    node::refused_record::RefusalKind,
};
use lagoonshore_state::instance_table::InstanceRecord;
use lagoonshore_transport::{
    Result, TransportError,
    platform_reader::{PlatformReader, WatchReply},
};
use std::{cell::RefCell, rc::Rc, time::Duration};
use support::TestNode;

const SERVICE: &str = "medication-log";
const REVISION_1_RECORD: &str =
    include_str!("../../../examples/kocaeli/records/medication-log.yaml");
const REVISION_2_RECORD: &str =
    include_str!("../../../examples/kocaeli/records-schema2/medication-log.yaml");

/// `FakePlatform` serves one record; reads of records time out while it has none, and reads of
/// instance lists always do.
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
            let record = self.record.borrow().clone().ok_or_else(timeout_error)?;
            let value = (name == SERVICE).then(|| record.into_bytes());
            Ok(WatchReply { index: 1, value })
        })
    }

    fn instances<'a>(
        &'a self,
        _: &'a str,
        _: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply<Vec<InstanceRecord>>>> {
        Box::pin(async { Err(timeout_error()) })
    }
}

fn timeout_error() -> TransportError {
    TransportError::TimedOut {
        address: support::parse_address("127.0.0.1:1"),
    }
}

async fn start_node(zone: &str, records: &[&str]) -> TestNode {
    let upstream = support::start_upstream(|_| async { support::ok_response("ran") }).await;
    support::start_node(SERVICE, zone, upstream, records).await
}

fn start_distribution(node: &TestNode, platform: &Rc<FakePlatform>) {
    actix_rt::spawn(digest_exchange::run(node.node.clone()));
    actix_rt::spawn(platform_watch::run(node.node.clone(), Rc::clone(platform)));
}

fn revision(node: &TestNode) -> Option<u64> {
    node.node.policies.borrow().revision(SERVICE)
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

fn last_refusal(node: &TestNode) -> (RefusalKind, String) {
    let records = node.node.refused_records.borrow();
    let record = records.get(SERVICE).expect("a refused record");
    (record.verdict, record.message.clone())
}

#[actix_rt::test]
async fn a_new_node_refuses_as_starting_until_it_pulls_the_newest_record_from_a_peer() {
    let (old, new) = (
        start_node("izmit", &[REVISION_2_RECORD]).await,
        start_node("gebze", &[]).await,
    );
    new.node.gossip.begin_startup(&new.node.settings);
    let refused = support::send(new.addresses.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!(
        (refused.outcome.as_str(), refused.reason.as_str()),
        ("not-run", "starting")
    );
    support::add_instance(&old, &new);
    let platform = Rc::new(FakePlatform::default());
    start_distribution(&old, &platform);
    start_distribution(&new, &platform);
    wait_until(|| new.node.is_ready()).await;
    assert_eq!(revision(&new), Some(2));
    let response = support::send(new.addresses.inbound, "GET", "/day/7", &[], "").await;
    assert_eq!(response.status, 200);
}

#[actix_rt::test]
async fn the_highest_revision_wins_in_a_fleet_of_mixed_schemas() {
    let nodes = [
        start_node("izmit", &[REVISION_1_RECORD]).await,
        start_node("gebze", &[REVISION_2_RECORD]).await,
    ];
    let third = REVISION_1_RECORD.replace("revision: 1", "revision: 3");
    let third = start_node("golcuk", &[&third]).await;
    support::add_instance(&nodes[0], &nodes[1]);
    support::add_instance(&nodes[1], &third);
    let platform = Rc::new(FakePlatform::default());
    platform.record.replace(Some(REVISION_1_RECORD.to_owned()));
    for node in nodes.iter().chain([&third]) {
        start_distribution(node, &platform);
    }
    wait_until(|| nodes.iter().all(|node| revision(node) == Some(3))).await;
    assert_eq!(revision(&third), Some(3));
}

#[actix_rt::test]
async fn refused_records_are_reported_with_their_line_and_leave_the_policy() {
    let node = start_node("izmit", &[REVISION_2_RECORD]).await;
    let offer = |text: &str| {
        platform_watch::offer(&node.node, &SERVICE.into(), text.as_bytes());
        last_refusal(&node)
    };
    let refusals = [
        offer(REVISION_1_RECORD),
        offer(&REVISION_2_RECORD.replace("slots: 75", "slots: 74")),
        offer(&REVISION_2_RECORD.replace("schema: 2", "schema: 3")),
        offer(&REVISION_2_RECORD.replace("name: medication-log", "name: medicine")),
    ];
    insta::assert_debug_snapshot!(refusals);
    assert_eq!(revision(&node), Some(2));
    assert_eq!(node.node.gossip.counters.borrow().refused, 4);
}
