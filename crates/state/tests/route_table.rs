//! Tests of route lookup by host and longest prefix, and of the upstream list.

use lagoonshore_state::{
    instance_table::InstanceState,
    route_table::{CallerLimits, FleetDocument, RouteEntry, RouteTable, RouteTarget},
    units::RequestImportance,
    upstream_list::{UpstreamList, UpstreamRecord},
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
