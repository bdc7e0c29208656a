//! Keys that are taken away while a node is cut off, while the store is silent and beside a restart: a node
//! acts on keys only as long as its document was the newest a short time ago.

mod support;

use lagoonshore_coordination::forwarding::document_proof::{DocumentFreshness, ProofBounds};
use lagoonshore_relay::{
    directory::{DocumentSource, FleetDirectory},
    store_view::document_proofs::read_clocks,
};
use lagoonshore_state::{
    account::{AccountEntry, AccountKey},
    route_table::{FleetDocument, RouteEntry},
};
use std::{rc::Rc, time::Duration};
use support::{CallerResponse, FleetMember, TestFleet, ask, document, route, until};
use tokio::time::Instant;

const KEY: &str = "key-of-ann-93";
const HEAD: &str = "Authorization: Bearer key-of-ann-93\r\n";

fn with_keys(version: u64, keys: &[&str]) -> FleetDocument {
    let keys = keys.iter().map(|key| AccountKey::new((*key).into()));
    let ann = AccountEntry {
        name: "ann".into(),
        keys: keys.collect(),
        importance: None,
        quota: None,
    };
    let open = RouteEntry {
        is_anonymous: true,
        ..route("/open/", "a", true)
    };
    FleetDocument {
        accounts: Some(vec![ann]),
        ..document(version, &[route("/a/", "a", true), open])
    }
}

/// Starts a fleet with one key, whose nodes have no proof yet.
async fn fleet(places: &[(&str, &str)], revocation: Duration) -> TestFleet {
    let fleet = TestFleet::start(places).await;
    for member in &fleet.members {
        let directory = &member.node.directory;
        directory.proofs().set_bounds(Some(ProofBounds {
            revocation,
            apply: revocation / 2,
        }));
        directory.apply_document(with_keys(1, &[KEY]), DocumentSource::Store);
    }
    fleet
}

async fn request(member: &FleetMember, path: &str, id: &str, more: &str) -> CallerResponse {
    ask(member.listen.callers, "GET", path, id, more).await
}

fn is_stale(member: &FleetMember) -> bool {
    member.node.directory.proofs().freshness() == DocumentFreshness::Stale
}

/// Stands in for a reader of the store: proves the document in force from time to time.
async fn read_store(directory: Rc<FleetDirectory>) {
    loop {
        let started = read_clocks();
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        directory.proofs().record_read(started);
    }
}

#[actix_rt::test]
async fn keys_need_a_proof_and_open_routes_do_not() {
    let revocation = Duration::from_secs(1);
    let fleet = fleet(&[("a", "z1")], revocation).await;
    let member = &fleet.members[0];
    for (id, fields) in [
        ("r1", HEAD),
        ("r2", ""),
        ("r3", "Authorization: Bearer x\r\n"),
    ] {
        let refused = request(member, "/a/x", id, fields).await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.fields.contains("Retry-After: "), "{refused:?}");
        assert!(refused.fields.contains("stale keys"), "{refused:?}");
        assert_eq!(request(member, "/open/x", id, fields).await.status, 200);
    }
    member.node.directory.proofs().record_read(read_clocks());
    assert_eq!(request(member, "/a/x", "r4", HEAD).await.status, 200);
    actix_rt::time::sleep(revocation).await;
    assert_eq!(request(member, "/a/x", "r5", HEAD).await.status, 503);
    assert_eq!(request(member, "/open/x", "r6", HEAD).await.status, 200);
    member.node.directory.proofs().record_read(read_clocks());
    assert_eq!(request(member, "/a/x", "r7", HEAD).await.status, 200);
}

#[actix_rt::test]
async fn nodes_that_cannot_read_the_store_go_on_by_the_proofs_of_others() {
    let revocation = Duration::from_secs(3);
    let places = [
        ("a", "z1"),
        ("a", "z1"),
        ("a", "z2"),
        ("a", "z2"),
        ("a", "z3"),
        ("a", "z3"),
    ];
    let fleet = fleet(&places, revocation).await;
    let readers: Vec<_> = fleet.members[4..]
        .iter()
        .map(|member| actix_rt::spawn(read_store(Rc::clone(&member.node.directory))))
        .collect();
    until(|| !fleet.members.iter().any(is_stale)).await;
    let started = Instant::now();
    while started.elapsed() < 2 * revocation {
        for (index, member) in fleet.members.iter().enumerate() {
            assert!(
                !is_stale(member),
                "node {index} after {:?}",
                started.elapsed()
            );
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(
        request(&fleet.members[0], "/a/x", "r1", HEAD).await.status,
        200
    );
    for reader in readers {
        reader.abort();
    }
    // No node trusts what it hears from others for longer than they may trust it.
    actix_rt::time::sleep(revocation).await;
    assert!(fleet.members.iter().all(is_stale));
    assert_eq!(
        request(&fleet.members[0], "/a/x", "r2", HEAD).await.status,
        503
    );
    assert_eq!(
        request(&fleet.members[0], "/open/x", "r3", "").await.status,
        200
    );
}

#[actix_rt::test]
async fn a_node_that_missed_a_document_does_not_go_on_with_the_keys_of_the_old_one() {
    let revocation = Duration::from_secs(3);
    let fleet = fleet(&[("a", "z1"), ("a", "z2"), ("a", "z3")], revocation).await;
    let readers: Vec<_> = fleet.members[1..]
        .iter()
        .map(|member| actix_rt::spawn(read_store(Rc::clone(&member.node.directory))))
        .collect();
    until(|| !fleet.members.iter().any(is_stale)).await;
    assert_eq!(
        request(&fleet.members[0], "/a/x", "r1", HEAD).await.status,
        200
    );
    for member in &fleet.members[1..] {
        let directory = &member.node.directory;
        directory.apply_document(with_keys(2, &["new-key"]), DocumentSource::Store);
    }
    let published = Instant::now();
    actix_rt::time::sleep(revocation).await;
    let refused = request(&fleet.members[0], "/a/x", "r2", HEAD).await;
    assert!([401, 503].contains(&refused.status), "{refused:?}");
    // It learns of the document from the nodes that it asks for a proof.
    until(|| fleet.members[0].node.directory.version() == 2).await;
    until(|| !is_stale(&fleet.members[0])).await;
    let new = "Authorization: Bearer new-key\r\n";
    assert_eq!(
        request(&fleet.members[0], "/a/x", "r3", new).await.status,
        200
    );
    assert_eq!(
        request(&fleet.members[0], "/a/x", "r4", HEAD).await.status,
        401
    );
    println!("all new after {:?}", published.elapsed());
    for reader in readers {
        reader.abort();
    }
}

#[actix_rt::test]
async fn a_node_that_starts_gets_a_proof_from_others_or_none() {
    let revocation = Duration::from_secs(3);
    let fleet = fleet(&[("a", "z1"), ("a", "z2")], revocation).await;
    let [started, other] = [&fleet.members[0], &fleet.members[1]];
    assert!(is_stale(started), "it knows nothing yet");
    other.node.directory.proofs().record_read(read_clocks());
    until(|| !is_stale(started)).await;
    let (own, told) = [started, other]
        .map(|member| member.node.directory.proofs().age())
        .into();
    assert!(own >= told, "no younger than the proof it comes from");
}
