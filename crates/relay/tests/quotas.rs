//! Quotas of accounts in a small fleet on loopback.

mod support;

use lagoonshore_coordination::{
    forwarding::document_proof::{ProofBounds, ProofReport},
    request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::StoreView;
use lagoonshore_relay::{
    directory::DocumentSource, node::RelayNode, quota::fleet_counters::FleetCounters,
    store_view::document_proofs::read_clocks,
};
use lagoonshore_state::{
    account::{AccountEntry, AccountKey, AccountQuota},
    instance_table::InstanceState,
    upstream_list::UpstreamRecord,
};
use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use support::TestFleet;
use tokio::time::Instant;

/// A rate at which the buckets fill within the time of a message.
const AMPLE_RATE: f64 = 1e6;
/// A rate at which no token arrives during a test.
const SCANT_RATE: f64 = 1e-9;

fn account(rate: f64) -> AccountEntry {
    named_account("t", rate)
}

fn named_account(name: &str, rate: f64) -> AccountEntry {
    AccountEntry {
        name: name.into(),
        keys: Vec::new(),
        importance: None,
        quota: Some(AccountQuota { rate, burst: 0.0 }),
    }
}

/// Deadline of a request with ample time.
fn soon() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

/// Two nodes in each of three zones, with one account.
async fn fleet(rate: f64) -> TestFleet {
    let zones = ["z1", "z2", "z3"];
    let places: Vec<(&str, &str)> = (0..6).map(|index| ("a", zones[index % 3])).collect();
    let fleet = TestFleet::start(&places).await;
    publish(&fleet, 1, rate);
    fleet
}

fn publish(fleet: &TestFleet, version: u64, rate: f64) {
    publish_accounts(fleet, version, &[account(rate)]);
}

fn publish_accounts(fleet: &TestFleet, version: u64, accounts: &[AccountEntry]) {
    for member in &fleet.members {
        let mut document = support::document(version, &[support::route("/a/", "a", true)]);
        document.accounts = Some(accounts.to_vec());
        let directory = &member.node.directory;
        directory.apply_document(document, DocumentSource::Store);
    }
}

/// Waits until all nodes know the counter of the account in their zone.
async fn until_counted(fleet: &TestFleet) {
    for member in &fleet.members {
        until_quotas_are_known(&member.node, &account(1.0)).await;
    }
}

/// Waits until `node` knows the counter of an account in its zone.
async fn until_quotas_are_known(node: &RelayNode, account: &AccountEntry) {
    loop {
        // The answer does not matter: the request makes the node look for its counter.
        let _ = node.quota_gate().admit(account, soon()).await;
        let quotas = node.dump().quotas.expect("accounts");
        if quotas.hands.iter().any(|hand| hand.counter.is_some()) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Counter of the account as the node that listens on `peers` sees it.
fn counter_of(fleet: &TestFleet, peers: SocketAddr) -> Option<SocketAddr> {
    let mut members = fleet.members.iter();
    let member = members.find(|member| member.listen.peers == peers)?;
    let quotas = member.node.dump().quotas?;
    quotas.hands.first()?.counter
}

#[actix_rt::test]
async fn the_nodes_of_a_zone_agree_on_one_counter_among_them() {
    let fleet = fleet(AMPLE_RATE).await;
    until_counted(&fleet).await;
    for zone in 0..3 {
        let nodes = [&fleet.members[zone], &fleet.members[zone + 3]];
        let addresses = nodes.map(|node| node.listen.peers);
        let counters = addresses.map(|address| counter_of(&fleet, address));
        assert_eq!(counters[0], counters[1]);
        assert!(addresses.map(Some).contains(&counters[0]));
    }
}

#[actix_rt::test]
async fn requests_below_the_quota_are_admitted_at_every_node() {
    let fleet = fleet(AMPLE_RATE).await;
    until_counted(&fleet).await;
    for member in &fleet.members {
        let gate = member.node.quota_gate();
        for _ in 0..20 {
            let admitted = gate.admit(&account(AMPLE_RATE), soon()).await;
            assert!(admitted.is_ok_and(|permit| permit.is_some()));
        }
    }
}

#[actix_rt::test]
async fn requests_beyond_the_quota_are_refused_as_too_many() {
    let fleet = fleet(SCANT_RATE).await;
    until_counted(&fleet).await;
    for member in &fleet.members {
        let gate = member.node.quota_gate();
        let refusal = gate.admit(&account(SCANT_RATE), soon()).await.err();
        let refusal = refusal.expect("no tokens yet");
        assert_eq!(refusal.reason, RefusalReason::QuotaExceeded);
        assert_eq!(refusal.reason.status(), 429);
        assert!(refusal.retry_after > Duration::ZERO);
    }
}

#[actix_rt::test]
async fn a_quota_that_was_lowered_holds_at_once() {
    let fleet = fleet(AMPLE_RATE).await;
    until_counted(&fleet).await;
    publish(&fleet, 2, SCANT_RATE);
    let gate = fleet.members[0].node.quota_gate();
    let (mut admitted, mut refused) = (0, 0);
    for _ in 0..100_000 {
        match gate.admit(&account(SCANT_RATE), soon()).await {
            Ok(_) => admitted += 1,
            Err(_) => refused += 1,
        }
        if refused > 0 {
            break;
        }
    }
    assert_eq!(refused, 1, "{admitted} admitted");
}

#[actix_rt::test]
async fn the_counters_of_other_zones_stand_in_for_one_that_does_not_answer() {
    let fleet = TestFleet::start(&[("a", "z1"), ("a", "z2")]).await;
    let own = fleet.members[0].listen.peers;
    // Nobody listens beside these upstreams.
    let silent: Vec<UpstreamRecord> = (100..120)
        .map(|last| silent_upstream(own.ip(), last))
        .collect();
    for member in &fleet.members {
        for record in &silent {
            member.node.directory.upsert_upstream(record.clone());
        }
    }
    let names: Vec<String> = (0..10).map(|index| format!("t{index}")).collect();
    let accounts = names.iter().map(|name| named_account(name, AMPLE_RATE));
    let accounts: Vec<AccountEntry> = accounts.collect();
    publish_accounts(&fleet, 1, &accounts);
    for member in &fleet.members {
        until_quotas_are_known(&member.node, &accounts[0]).await;
    }
    let gate = fleet.members[0].node.quota_gate();
    for account in &accounts {
        let admitted = gate.admit(account, soon()).await;
        assert!(admitted.is_ok_and(|permit| permit.is_some()));
    }
    let quotas = fleet.members[0].node.dump().quotas.expect("accounts");
    let mut counters = quotas.hands.iter().filter_map(|hand| hand.counter);
    let is_silent = |counter: SocketAddr| {
        let mut addresses = silent.iter().map(|record| record.address.ip());
        addresses.any(|address| address == counter.ip())
    };
    // Of 21 nodes, it is most unlikely that the only real one counts for all ten accounts.
    assert!(counters.any(is_silent));
}

/// An upstream in zone `z1`, at the address that ends with `last` in the network of `near`.
fn silent_upstream(near: IpAddr, last: u8) -> UpstreamRecord {
    let IpAddr::V4(near) = near else {
        unreachable!("fleets have IPv4 addresses");
    };
    let [first, second, third, _] = near.octets();
    UpstreamRecord {
        name: format!("silent{last}").into(),
        service: "a".into(),
        zone: "z1".into(),
        address: ([first, second, third, last], 1).into(),
        slots: 1,
        started_ms: None,
        state: InstanceState::Live,
        revision: 1000,
    }
}

#[actix_rt::test]
async fn the_token_of_a_request_that_did_not_run_is_used_again() {
    let fleet = fleet(AMPLE_RATE).await;
    until_counted(&fleet).await;
    let gate = fleet.members[0].node.quota_gate();
    let admitted = gate
        .admit(&account(AMPLE_RATE), soon())
        .await
        .ok()
        .flatten();
    let held = |fleet: &TestFleet| {
        fleet.members[0]
            .node
            .dump()
            .quotas
            .map(|quotas| quotas.hands[0].tokens)
    };
    let before = held(&fleet);
    admitted.expect("admitted").give_back();
    let after = held(&fleet);
    assert!(after > before, "{before:?}, then {after:?}");
}

#[actix_rt::test]
async fn an_account_without_a_quota_takes_no_tokens() {
    let fleet = fleet(AMPLE_RATE).await;
    let unlimited = AccountEntry {
        quota: None,
        ..account(1.0)
    };
    let gate = fleet.members[0].node.quota_gate();
    let admitted = gate.admit(&unlimited, soon()).await;
    assert!(admitted.is_ok_and(|permit| permit.is_none()));
    let quotas = fleet.members[0].node.dump().quotas.expect("accounts");
    assert!(quotas.hands.is_empty() && quotas.counters.is_empty());
}

#[actix_rt::test]
async fn a_request_whose_quota_was_removed_is_admitted() {
    let fleet = fleet(AMPLE_RATE).await;
    until_counted(&fleet).await;
    let unlimited = AccountEntry {
        quota: None,
        ..account(1.0)
    };
    publish_accounts(&fleet, 2, &[unlimited]);
    let gate = fleet.members[0].node.quota_gate();
    // The request was read under the document before.
    let admitted = gate.admit(&named_account("t", AMPLE_RATE), soon()).await;
    assert!(admitted.is_ok_and(|permit| permit.is_none()));
}

/// Tokens that the counters of the fleet have granted.
fn granted(fleet: &TestFleet) -> f64 {
    let dumps = fleet
        .members
        .iter()
        .filter_map(|member| member.node.dump().quotas);
    let counters = dumps.flat_map(|quotas| quotas.counters);
    counters.map(|counter| counter.totals.granted).sum()
}

#[actix_rt::test]
async fn a_quota_that_is_removed_and_added_again_starts_no_new_counter() {
    let fleet = fleet(AMPLE_RATE).await;
    until_counted(&fleet).await;
    let gate = fleet.members[0].node.quota_gate();
    let admitted = gate.admit(&account(AMPLE_RATE), soon()).await;
    assert!(admitted.is_ok_and(|permit| permit.is_some()));
    let before = granted(&fleet);
    publish_accounts(&fleet, 2, &[]);
    // The nodes apply each of the documents.
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    publish(&fleet, 3, AMPLE_RATE);
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    assert!(granted(&fleet) >= before && before > 0.0);
}

#[actix_rt::test]
async fn a_request_waits_for_a_token_until_its_deadline_at_most() {
    let fleet = TestFleet::start(&[("a", "z1"), ("a", "z2")]).await;
    publish_accounts(
        &fleet,
        1,
        &[account(AMPLE_RATE), named_account("u", AMPLE_RATE)],
    );
    until_counted(&fleet).await;
    let gate = fleet.members[0].node.quota_gate();
    let late = gate
        .admit(&named_account("u", AMPLE_RATE), Instant::now())
        .await;
    let refusal = late.err().expect("no token in hand");
    assert_eq!(refusal.reason, RefusalReason::QuotaUnknown);
}

#[actix_rt::test]
async fn a_caller_over_its_quota_is_told_when_to_return_and_nothing_runs() {
    let fleet = TestFleet::start(&[("a", "z1"), ("a", "z2")]).await;
    let limited = AccountEntry {
        keys: vec![AccountKey::new("key".into())],
        ..account(SCANT_RATE)
    };
    publish_accounts(&fleet, 1, &[limited]);
    until_counted(&fleet).await;
    let callers = fleet.members[0].listen.callers;
    let key = "Authorization: Bearer key\r\n";
    let response = support::ask(callers, "GET", "/a/x", "i1", key).await;
    assert_eq!(response.status, 429);
    assert!(response.fields.contains("Retry-After: "), "{response:?}");
    assert_eq!(response.body, "quota");
    for member in &fleet.members {
        assert!(member.upstream.seen.borrow().is_empty());
    }
}

#[actix_rt::test]
async fn a_counter_with_an_older_document_fetches_the_newer_one() {
    let fleet = TestFleet::start(&[("a", "z1"), ("a", "z2"), ("a", "z1")]).await;
    publish_accounts(&fleet, 1, &[account(AMPLE_RATE)]);
    until_counted(&fleet).await;
    let added: Vec<AccountEntry> = (0..8)
        .map(|index| named_account(&format!("u{index}"), AMPLE_RATE))
        .collect();
    let mut document = support::document(2, &[support::route("/a/", "a", true)]);
    document.accounts = Some(added.clone());
    let node = &fleet.members[0].node;
    node.directory
        .apply_document(document, DocumentSource::Store);
    for account in &added {
        let admitted = node.quota_gate().admit(account, soon()).await;
        assert!(admitted.is_ok_and(|permit| permit.is_some()));
    }
}

#[actix_rt::test]
async fn a_node_that_listens_on_all_addresses_finds_itself() {
    let fleet = TestFleet::start(&[("a", "z1")]).await;
    publish(&fleet, 1, AMPLE_RATE);
    let node = &fleet.members[0].node;
    let listed = fleet.members[0].listen.peers;
    let directory = &node.directory;
    assert_eq!(directory.own_peer_address(), Some(listed));
    let mut settings = node.settings.clone();
    settings.listen.peers = SocketAddr::from(([0, 0, 0, 0], listed.port()));
    let counters = FleetCounters::new(&settings, Rc::clone(directory));
    assert_eq!(counters.own_address(), listed);
}

#[actix_rt::test]
async fn a_counter_whose_list_may_be_too_old_grants_nothing() {
    let revocation = Duration::from_millis(300);
    let fleet = TestFleet::start(&[("a", "z1")]).await;
    publish(&fleet, 1, AMPLE_RATE);
    let node = &fleet.members[0].node;
    let directory = &node.directory;
    directory.proofs().set_bounds(Some(ProofBounds {
        revocation,
        apply: revocation,
    }));
    directory.proofs().record_read(read_clocks());
    until_counted(&fleet).await;
    let account = account(AMPLE_RATE);
    // Tokens in hand expire as well.
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    assert!(node.quota_gate().admit(&account, soon()).await.is_err());
    let newer = directory.versions().known_revision() + 1;
    let view = StoreView {
        revision: newer,
        version: 1,
        read_age_ms: 0,
        held_ms: 0,
        proof: Some(ProofReport {
            version: 1,
            age: Duration::ZERO,
        }),
    };
    let peer = fleet.members[0].listen.peers;
    directory.record_view(peer, read_clocks(), &view);
    assert!(!directory.proofs().is_list_proven());
    directory.versions().record_applied(newer);
    directory.record_view(peer, read_clocks(), &view);
    assert!(directory.proofs().is_list_proven());
    // The refusal of a short time ago is not repeated.
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    directory.record_view(peer, read_clocks(), &view);
    let admitted = node.quota_gate().admit(&account, soon()).await;
    assert!(admitted.is_ok_and(|permit| permit.is_some()));
}
