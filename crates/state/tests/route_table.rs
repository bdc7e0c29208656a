//! Tests of route lookup by host and longest prefix, and of the upstream list.

use lagoonshore_state::{
    instance_table::InstanceState,
    route_table::{CallerLimits, FleetDocument, RouteEntry, RouteTable, RouteTarget},
    units::RequestImportance,
    upstream_list::{UpstreamList, UpstreamRecord, UpstreamRun},
};
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str) -> RouteEntry {
    RouteEntry {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        targets: vec![RouteTarget {
            service: "s".into(),
            weight: 1,
        }],
        is_idempotent: true,
        timeout: Duration::from_secs(5),
        aim: Duration::from_secs(1),
        attempts: 2,
        importance: RequestImportance(0),
        is_anonymous: false,
    }
}

fn table() -> RouteTable {
    RouteTable::new(FleetDocument {
        version: 3,
        routes: vec![
            route("root", "a.example", "/"),
            route("long", "a.example", "/x/y/"),
            route("short", "a.example", "/x/"),
            route("other", "b.example", "/x/"),
        ],
        services: Vec::new(),
        limits: CallerLimits::default(),
        accounts: None,
    })
}

fn found(host: &str, target: &str) -> Option<String> {
    table()
        .find(host, target)
        .map(|route| route.name.to_string())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let cases = [
        ("a.example", "/x/y/z"),
        ("a.example", "/x/y/"),
        ("a.example", "/x/y"),
        ("a.example", "/x/?q=/x/y/"),
        ("a.example", "/z"),
        ("A.Example:8080", "/x/1"),
        ("b.example", "/x/y/z"),
        ("b.example", "/z/"),
        ("c.example", "/x/"),
        ("", "/x/"),
    ];
    let found: Vec<_> = cases
        .iter()
        .map(|(host, target)| format!("{host} {target}: {:?}", found(host, target)))
        .collect();
    insta::assert_snapshot!(found.join("\n"), @r#"
    a.example /x/y/z: Some("long")
    a.example /x/y/: Some("long")
    a.example /x/y: Some("short")
    a.example /x/?q=/x/y/: Some("short")
    a.example /z: Some("root")
    A.Example:8080 /x/1: Some("short")
    b.example /x/y/z: Some("other")
    b.example /z/: None
    c.example /x/: None
     /x/: None
    "#);
}

fn upstream(name: &str, revision: u64, state: InstanceState) -> UpstreamRecord {
    UpstreamRecord {
        name: name.into(),
        service: "s".into(),
        zone: "z".into(),
        address: ([127, 0, 0, 1], 80).into(),
        slots: 4,
        started_ms: Some(1),
        state,
        revision,
    }
}

#[test]
fn an_older_record_of_an_upstream_is_ignored() {
    let mut list = UpstreamList::default();
    assert!(list.upsert(upstream("u", 5, InstanceState::Leaving)));
    assert!(!list.upsert(upstream("u", 4, InstanceState::Live)));
    assert!(list.has_departed("u"));
    assert!(list.remove("u", 4).is_none());
    assert!(list.remove("u", 6).is_some());
    assert!(!list.upsert(upstream("u", 5, InstanceState::Live)));
    assert!(list.has_departed("u") && list.is_empty());
}

#[test]
fn a_newly_listed_name_is_no_longer_departed() {
    let mut list = UpstreamList::default();
    list.upsert(upstream("u", 5, InstanceState::Live));
    list.remove("u", 6);
    assert!(list.upsert(upstream("u", 7, InstanceState::Live)));
    assert!(!list.has_departed("u"));
}

#[test]
fn lookup_by_address_returns_the_newest_record() {
    let mut list = UpstreamList::default();
    list.upsert(upstream("new", 9, InstanceState::Live));
    list.upsert(upstream("old", 5, InstanceState::Live));
    let at = list.find_by_address(([127, 0, 0, 1], 80).into());
    assert_eq!(at.map(|record| record.name.as_str()), Some("new"));
}

fn run_of(name: &str, started_ms: u64) -> UpstreamRun {
    UpstreamRun {
        name: name.into(),
        started_ms: Some(started_ms),
    }
}

#[test]
fn a_run_that_announced_its_departure_is_not_live_again() {
    let mut list = UpstreamList::default();
    list.upsert(upstream("u", 5, InstanceState::Live));
    assert!(list.announce_departure(&run_of("u", 1)));
    list.upsert(upstream("u", 9, InstanceState::Live));
    assert!(list.has_departed("u"));
    let state = list.get("u").map(|record| record.state);
    assert_eq!(state, Some(InstanceState::Leaving));
}

#[test]
fn a_departure_announced_by_an_earlier_run_does_not_hold_for_the_listed_one() {
    let mut list = UpstreamList::default();
    list.upsert(upstream("u", 5, InstanceState::Live));
    assert!(!list.announce_departure(&run_of("u", 0)));
    assert!(!list.has_departed("u"));
}

#[test]
fn an_unlisted_run_that_announced_its_departure_is_identified_by_its_first_record() {
    let mut list = UpstreamList::default();
    let run = UpstreamRun {
        name: "u".into(),
        started_ms: None,
    };
    list.announce_departure(&run);
    list.upsert(upstream("u", 5, InstanceState::Live));
    assert_eq!(list.announced_run(&run.name), Some(run_of("u", 1)));
    let mut restarted = upstream("u", 6, InstanceState::Live);
    restarted.started_ms = Some(2);
    list.upsert(restarted);
    assert!(!list.has_departed("u"));
}
