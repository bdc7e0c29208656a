//! Tests of client accounts in the route table: lookup by key, and importance.

use lagoonshore_state::{
    account::{AccountEntry, AccountKey},
    route_table::{CallerLimits, FleetDocument, RouteEntry, RouteTable},
    units::RequestImportance,
};
use std::time::Duration;

fn account(name: &str, keys: &[&str], importance: Option<u8>) -> AccountEntry {
    AccountEntry {
        name: name.into(),
        keys: keys.iter().map(|key| key_of(key)).collect(),
        importance: importance.map(RequestImportance),
        quota: None,
    }
}

fn key_of(text: &str) -> AccountKey {
    AccountKey::new(text.into())
}

fn table(accounts: Option<Vec<AccountEntry>>) -> RouteTable {
    RouteTable::new(FleetDocument {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        accounts,
    })
}

fn route(importance: u8) -> RouteEntry {
    RouteEntry {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        targets: Vec::new(),
        is_idempotent: true,
        timeout: Duration::from_secs(1),
        aim: Duration::from_secs(1),
        attempts: 1,
        importance: RequestImportance(importance),
        is_anonymous: false,
    }
}

#[test]
fn a_key_names_the_account_that_holds_it() {
    let ann = account("ann", &["k1", "k2"], None);
    let table = table(Some(vec![ann, account("bob", &["k3"], None)]));
    let name = |key| {
        let account = table.account_of_key(key_of(key).digest());
        account.map(|account| account.name.to_string())
    };
    assert_eq!(name("k1").as_deref(), Some("ann"));
    assert_eq!(name("k2").as_deref(), Some("ann"));
    assert_eq!(name("k3").as_deref(), Some("bob"));
    for unknown in ["", "k", "K1", "k1 ", "k4"] {
        assert_eq!(name(unknown), None, "{unknown:?}");
    }
    let names: Vec<_> = table
        .accounts()
        .iter()
        .map(|account| account.name.clone())
        .collect();
    assert_eq!(names, ["ann", "bob"]);
}

#[test]
fn the_rank_of_an_account_goes_before_that_of_a_route() {
    let ranked = table(Some(Vec::new()));
    let importance = |account_rank, route_rank| {
        let account = account("ann", &[], account_rank);
        ranked.importance(&route(route_rank), Some(&account))
    };
    assert_eq!(importance(Some(0), 0), RequestImportance(0));
    assert!(importance(Some(0), 9).outranks(importance(Some(1), 0)));
    assert!(importance(Some(2), 1).outranks(importance(Some(2), 3)));
    assert!(importance(Some(14), 255).outranks(importance(Some(15), 0)));
    assert_eq!(importance(Some(15), 7), importance(Some(255), 7));
    assert_eq!(importance(None, 3), importance(Some(3), 3));
    assert_eq!(ranked.importance(&route(3), None), importance(Some(3), 3));
    let plain = table(None);
    assert_eq!(plain.importance(&route(200), None), RequestImportance(200));
}

#[test]
fn a_key_is_known_by_its_fingerprint_only() {
    let key = key_of("maj3nr26tta828m82thh");
    assert_eq!(key.fingerprint(), key.clone().fingerprint());
    assert_ne!(
        key.fingerprint(),
        key_of("maj3nr26tta828m82thi").fingerprint()
    );
    assert_eq!(key.fingerprint().to_string().len(), 8);
    assert!(!format!("{key:?}").contains("maj3"));
}
