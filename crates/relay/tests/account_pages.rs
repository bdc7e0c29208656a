//! Pages for operators about client accounts: nothing is sent or taken, and no key is shown.

mod support;

use lagoonshore_coordination::forwarding::document_proof::ProofBounds;
use lagoonshore_relay::{directory::DocumentSource, store_view::document_proofs::read_clocks};
use lagoonshore_state::{
    account::{AccountEntry, AccountKey, AccountQuota},
    route_table::{FleetDocument, RouteEntry},
    units::RequestImportance,
};
use serde_json::Value;
use std::time::Duration;
use support::{TestFleet, ask, document, route};

const KEY: &str = "key-of-ann-93";
const HEAD: &str = "Authorization: Bearer key-of-ann-93\r\n";
/// A rate at which no token arrives during a test.
const SCANT_RATE: f64 = 1e-9;
/// Longer than a test.
const REVOCATION: Duration = Duration::from_hours(1);

fn account(name: &str, keys: &[&str], rate: Option<f64>) -> AccountEntry {
    AccountEntry {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| AccountKey::new((*key).into()))
            .collect(),
        importance: Some(RequestImportance(2)),
        quota: rate.map(|rate| AccountQuota { rate, burst: 10.0 }),
    }
}

/// Two zones with one node each, which hold a proof.
async fn fleet(accounts: Vec<AccountEntry>) -> TestFleet {
    let fleet = TestFleet::start(&[("a", "z1"), ("a", "z2")]).await;
    let open = RouteEntry {
        is_anonymous: true,
        ..route("/open/", "a", true)
    };
    let document = FleetDocument {
        accounts: Some(accounts),
        ..document(1, &[route("/a/", "a", true), open])
    };
    for member in &fleet.members {
        let directory = &member.node.directory;
        directory.proofs().set_bounds(Some(ProofBounds {
            revocation: REVOCATION,
            apply: REVOCATION / 2,
        }));
        directory.proofs().record_read(read_clocks());
        directory.apply_document(document.clone(), DocumentSource::Store);
    }
    fleet
}

/// Asks the first node for a page; returns its status and content.
async fn page(fleet: &TestFleet, path: &str) -> (u16, Value) {
    let admin = fleet.members[0].listen.admin;
    let response = ask(admin, "GET", path, "x", "").await;
    assert!(!response.body.contains(KEY), "{}", response.body);
    let page = serde_json::from_str(&response.body).expect("JSON");
    (response.status, page)
}

/// Asks for the page until a counter of the account is known in both zones.
async fn page_with_counters(fleet: &TestFleet, path: &str) -> Value {
    loop {
        let (status, page) = page(fleet, path).await;
        assert_eq!(status, 200, "{page}");
        if page["quota"]["counters"].as_array().map(Vec::len) == Some(2) {
            return page;
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

#[actix_rt::test]
async fn the_page_of_an_account_shows_its_quota_and_takes_nothing() {
    let fleet = fleet(vec![account("ann", &[KEY], Some(SCANT_RATE))]).await;
    let shown = page_with_counters(&fleet, "/accounts/ann").await;
    let fingerprint = AccountKey::new(KEY.into()).fingerprint().to_string();
    assert_eq!(shown["account"]["keys"][0], fingerprint.as_str());
    assert_eq!(shown["account"]["importance"], 2);
    assert_eq!(shown["proof"]["freshness"], "current");
    assert_eq!(shown["quota"]["zones"], 2);
    assert_eq!(shown["quota"]["in_hand"], Value::Null);
    assert_eq!(shown["request_now"]["result"], "waits-for-counter");
    let dump = fleet.members[0].node.dump();
    let quotas = dump.quotas.expect("accounts");
    assert!(quotas.hands.is_empty() && quotas.counters.is_empty());
}

#[actix_rt::test]
async fn the_page_tells_what_the_next_request_gets() {
    let fleet = fleet(vec![account("ann", &[KEY], Some(SCANT_RATE))]).await;
    page_with_counters(&fleet, "/accounts/ann").await;
    let callers = fleet.members[0].listen.callers;
    let mut status = 200;
    for index in 0..100 {
        let id = format!("r{index}");
        status = ask(callers, "GET", "/a/x", &id, HEAD).await.status;
        if status == 429 {
            break;
        }
    }
    assert_eq!(status, 429);
    for path in ["/accounts/ann", "/explain/h/a/x?account=ann"] {
        let (_, shown) = page(&fleet, path).await;
        let part = if shown["caller"].is_null() {
            &shown
        } else {
            &shown["caller"]
        };
        let now = &part["request_now"];
        assert_eq!(now["status"], 429, "{shown}");
        assert_eq!(now["reason"], "quota");
        assert!(now["retry_after_ms"].as_u64() > Some(0), "{now}");
    }
    let (_, shown) = page(&fleet, "/accounts/ann").await;
    assert!(shown["quota"]["in_hand"]["request_rate"].as_f64() > Some(0.0));
    // Each zone has one node, which is its counter.
    assert_eq!(shown["quota"]["counters"][0]["is_own"], true);
    assert_eq!(shown["quota"]["own_counter"]["account"], "ann");
}

#[actix_rt::test]
async fn a_stale_proof_is_told_on_routes_that_need_a_key() {
    let fleet = fleet(vec![account("ann", &[KEY], None)]).await;
    let proofs = fleet.members[0].node.directory.proofs();
    let (_, shown) = page(&fleet, "/explain/h/a/x?account=ann").await;
    assert_eq!(shown["caller"]["request_now"]["result"], "sent");
    assert_eq!(shown["caller"]["importance"], 0x21);
    let (_, shown) = page(&fleet, "/explain/h/a/x").await;
    assert_eq!(shown["caller"]["request_now"]["status"], 401);
    proofs.set_bounds(Some(ProofBounds {
        revocation: Duration::ZERO,
        apply: Duration::ZERO,
    }));
    for path in ["/explain/h/a/x?account=ann", "/accounts/ann"] {
        let (_, shown) = page(&fleet, path).await;
        let text = shown.to_string();
        assert!(
            text.contains("\"stale\"") && text.contains("stale keys"),
            "{text}"
        );
    }
    let (_, shown) = page(&fleet, "/explain/h/open/x").await;
    assert_eq!(shown["caller"]["request_now"]["result"], "sent");
    for member in &fleet.members {
        assert!(member.upstream.ids().is_empty());
    }
}

#[actix_rt::test]
async fn accounts_are_listed_in_parts_and_found_by_name() {
    let mut accounts: Vec<_> = (0..150)
        .map(|index| account(&format!("a{index:03}"), &[], None))
        .collect();
    accounts.push(account("x/y?z%", &[KEY], None));
    let fleet = fleet(accounts).await;
    let (_, first) = page(&fleet, "/accounts").await;
    assert_eq!((&first["total"], &first["left"]), (&151.into(), &51.into()));
    let (_, rest) = page(&fleet, "/accounts?after=a099").await;
    assert_eq!(rest["accounts"][0]["name"], "a100");
    assert_eq!(rest["accounts"][50]["name"], "x/y?z%");
    assert_eq!(rest["left"], 0);
    let (_, state) = page(&fleet, "/state").await;
    assert_eq!(state["accounts"]["total"], 151);
    assert_eq!(state["accounts"]["entries"][99]["name"], "a099");
    assert!(state["accounts"]["entries"][100].is_null());
    let (status, found) = page(&fleet, "/accounts/x%2Fy%3Fz%25").await;
    assert_eq!((status, &found["account"]["name"]), (200, &"x/y?z%".into()));
}

#[actix_rt::test]
async fn what_is_not_known_is_told() {
    let fleet = fleet(vec![account("ann", &[KEY], None)]).await;
    let key_as_name = format!("/accounts/{KEY}");
    for path in [
        "/accounts/bob",
        "/accounts/%",
        "/explain/h/a/x?account=bob",
        &key_as_name,
    ] {
        let (status, problem) = page(&fleet, path).await;
        let text = "the document in force has no account of this name";
        assert_eq!((status, &problem["problem"]), (404, &text.into()), "{path}");
    }
    let plain = support::two_zones().await;
    for path in ["/accounts", "/accounts/ann"] {
        let (status, problem) = page(&plain, path).await;
        let text = "the document in force has no accounts";
        assert_eq!((status, &problem["problem"]), (404, &text.into()), "{path}");
    }
    let (_, shown) = page(&plain, "/explain/h/a/x").await;
    assert!(shown.get("caller").is_none(), "{shown}");
}
