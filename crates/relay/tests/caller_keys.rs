//! Keys of callers: who is let in, what the upstream is told, and that no key is passed on or logged.

mod support;

use actix_rt::net::TcpStream;
use lagoonshore_relay::directory::DocumentSource;
use lagoonshore_state::{
    account::{AccountEntry, AccountKey},
    route_table::{FleetDocument, RouteEntry},
    units::RequestImportance,
};
use rstest::rstest;
use std::time::Duration;
use support::{CallerResponse, TestFleet, ask, ask_raw, document, route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const GOOD: &str = "Authorization: Bearer key-of-ann\r\n";

fn account(name: &str, keys: &[&str]) -> AccountEntry {
    AccountEntry {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| AccountKey::new((*key).into()))
            .collect(),
        importance: Some(RequestImportance(1)),
        quota: None,
    }
}

fn routes() -> Vec<RouteEntry> {
    let open = RouteEntry {
        is_anonymous: true,
        ..route("/open/", "a", true)
    };
    vec![route("/a/", "a", true), open]
}

fn with_accounts(version: u64, accounts: Vec<AccountEntry>) -> FleetDocument {
    FleetDocument {
        accounts: Some(accounts),
        ..document(version, &routes())
    }
}

async fn fleet() -> TestFleet {
    let fleet = TestFleet::start(&[("a", "z1"), ("a", "z2")]).await;
    let accounts = vec![
        account("ann", &["key-of-ann", "second-of-ann"]),
        account("bob", &["key-of-bob"]),
    ];
    publish(&fleet, &with_accounts(1, accounts));
    fleet
}

fn publish(fleet: &TestFleet, document: &FleetDocument) {
    for member in &fleet.members {
        let directory = &member.node.directory;
        directory.apply_document(document.clone(), DocumentSource::Store);
    }
}

async fn request(fleet: &TestFleet, path: &str, id: &str, more: &str) -> CallerResponse {
    ask(fleet.members[0].listen.callers, "GET", path, id, more).await
}

/// Heads of all requests that upstreams have run.
fn heads(fleet: &TestFleet) -> String {
    let members = fleet.members.iter();
    let heads = members.flat_map(|member| {
        let seen = member.upstream.seen.borrow();
        seen.iter()
            .map(|seen| seen.fields.clone())
            .collect::<Vec<_>>()
    });
    heads.collect::<Vec<_>>().join("\n")
}

#[rstest]
#[case::plain(GOOD, 200)]
#[case::other_case("aUTHORIZATION: bEARER key-of-ann\r\n", 200)]
#[case::blanks("Authorization:\t  Bearer \t key-of-ann  \r\n", 200)]
#[case::repeated(
    "Authorization: Bearer key-of-ann\r\nauthorization: Bearer key-of-ann\r\n",
    200
)]
#[case::hop_by_hop(
    "Connection: Authorization\r\nAuthorization: Bearer key-of-ann\r\n",
    200
)]
#[case::none("", 401)]
#[case::unknown("Authorization: Bearer key-of-eve\r\n", 401)]
#[case::prefix("Authorization: Bearer key-of-an\r\n", 401)]
#[case::longer("Authorization: Bearer key-of-ann2\r\n", 401)]
#[case::other_key_case("Authorization: Bearer KEY-OF-ANN\r\n", 401)]
#[case::empty("Authorization: Bearer \r\n", 401)]
#[case::no_scheme("Authorization: key-of-ann\r\n", 401)]
#[case::other_scheme("Authorization: Basic key-of-ann\r\n", 401)]
#[case::list("Authorization: Bearer key-of-ann, Bearer key-of-ann\r\n", 401)]
#[case::two_accounts(
    "Authorization: Bearer key-of-ann\r\nAuthorization: Bearer key-of-bob\r\n",
    401
)]
#[case::two_of_one(
    "Authorization: Bearer key-of-ann\r\nAuthorization: Bearer second-of-ann\r\n",
    401
)]
#[case::other_field("X-Api-Key: key-of-ann\r\n", 401)]
#[actix_rt::test]
async fn only_one_valid_key_lets_a_request_in(#[case] fields: &str, #[case] status: u16) {
    let fleet = fleet().await;
    let response = request(&fleet, "/a/x", "r1", fields).await;
    assert_eq!(response.status, status, "{}", response.fields);
    if status == 401 {
        assert!(response.fields.contains("WWW-Authenticate: Bearer"));
        assert_eq!(heads(&fleet), "");
        return;
    }
    let heads = heads(&fleet).to_ascii_lowercase();
    assert!(heads.contains("\r\naccount: ann\r\n"), "{heads}");
    assert!(!heads.contains("authorization: "), "{heads}");
    assert!(!heads.contains("key-of-ann"), "{heads}");
}

#[actix_rt::test]
async fn a_huge_key_is_refused() {
    let fleet = fleet().await;
    for length in [257, 8000, 200_000] {
        let field = format!("Authorization: Bearer {}\r\n", "k".repeat(length));
        let response = request(&fleet, "/a/x", "r1", &field).await;
        let expected = if length < 10_000 { 401 } else { 431 };
        assert_eq!(response.status, expected, "{length}");
    }
    assert_eq!(request(&fleet, "/a/x", "r2", GOOD).await.status, 200);
}

#[rstest]
#[case::blank_before_the_colon("Authorization : Bearer key-of-ann\r\n", "", 400)]
#[case::folded("X-Other: a\r\n Authorization: Bearer key-of-ann\r\n", "", 400)]
#[case::trailer_only("", "Authorization: Bearer key-of-ann\r\n", 401)]
#[case::trailer_too(GOOD, "Authorization: Bearer key-of-ann\r\naccount: bob\r\n", 200)]
#[actix_rt::test]
async fn a_key_elsewhere_than_in_a_field_of_the_head_is_neither_used_nor_passed_on(
    #[case] fields: &str,
    #[case] trailers: &str,
    #[case] status: u16,
) {
    let fleet = fleet().await;
    let request = format!(
        "POST /a/ok HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nConnection: close\r\n{fields}\
         Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n{trailers}\r\n"
    );
    let response = ask_raw(fleet.members[0].listen.callers, request.as_bytes()).await;
    let expected = format!("HTTP/1.1 {status} ");
    assert!(response.starts_with(&expected), "{response}");
    let heads = heads(&fleet);
    assert!(
        !heads.contains("key-of-ann") && !heads.contains("bob"),
        "{heads}"
    );
}

#[actix_rt::test]
async fn the_name_of_the_account_is_never_that_of_the_caller() {
    let fleet = fleet().await;
    let forged = "ACCOUNT: bob\r\naccount: bob\r\n";
    for index in 0..8 {
        let fields = format!("{GOOD}{forged}");
        let response = request(&fleet, "/a/x", &format!("r{index}"), &fields).await;
        assert_eq!(response.status, 200);
    }
    let open = request(&fleet, "/open/x", "r9", forged).await;
    assert_eq!(open.status, 200);
    let heads = heads(&fleet);
    assert_eq!(heads.matches("account: ann").count(), 8, "{heads}");
    assert!(!heads.contains("bob"), "{heads}");
}

#[actix_rt::test]
async fn anyone_may_use_an_open_route_but_not_with_a_wrong_key() {
    let fleet = fleet().await;
    assert_eq!(request(&fleet, "/open/x", "r1", "").await.status, 200);
    assert!(!heads(&fleet).contains("account: "));
    assert_eq!(request(&fleet, "/open/x", "r2", GOOD).await.status, 200);
    assert!(heads(&fleet).contains("account: ann"));
    let wrong = "Authorization: Bearer key-of-eve\r\n";
    assert_eq!(request(&fleet, "/open/x", "r3", wrong).await.status, 401);
}

#[actix_rt::test]
async fn keys_are_added_and_taken_away_by_new_documents() {
    let fleet = fleet().await;
    assert_eq!(request(&fleet, "/a/x", "r1", GOOD).await.status, 200);
    let accounts = vec![
        account("ann", &["new-key"]),
        account("bob", &["key-of-bob"]),
    ];
    publish(&fleet, &with_accounts(2, accounts));
    assert_eq!(request(&fleet, "/a/x", "r2", GOOD).await.status, 401);
    let new = "Authorization: Bearer new-key\r\n";
    assert_eq!(request(&fleet, "/a/x", "r3", new).await.status, 200);
    publish(&fleet, &with_accounts(3, Vec::new()));
    assert_eq!(request(&fleet, "/a/x", "r4", new).await.status, 401);
    publish(&fleet, &document(4, &routes()));
    assert_eq!(request(&fleet, "/a/x", "r5", "").await.status, 200);
}

#[actix_rt::test]
async fn without_accounts_credentials_belong_to_the_upstream() {
    let fleet = fleet().await;
    publish(&fleet, &document(2, &routes()));
    assert_eq!(request(&fleet, "/a/x", "r1", GOOD).await.status, 200);
    assert!(heads(&fleet).contains("Authorization: Bearer key-of-ann\r\n"));
}

#[actix_rt::test]
async fn without_accounts_the_field_with_their_name_belongs_to_the_upstream() {
    let fleet = fleet().await;
    publish(&fleet, &document(2, &routes()));
    let response = request(&fleet, "/a/x", "r1", "Account: ann\r\n").await;
    assert_eq!(response.status, 200);
    assert!(heads(&fleet).contains("Account: ann\r\n"));
}

/// Sends a request whose body is complete only after `later` was published; `later` is a document that
/// replaces `first`. Returns its response.
async fn request_during_change(
    first: &FleetDocument,
    later: &FleetDocument,
) -> (TestFleet, String) {
    let fleet = fleet().await;
    publish(&fleet, first);
    let callers = fleet.members[0].listen.callers;
    let mut stream = TcpStream::connect(callers).await.expect("open");
    let head = format!(
        "POST /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n{GOOD}Expect: 100-continue\r\n\
         Content-Length: 2\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.expect("100");
    publish(&fleet, later);
    stream.write_all(b"ab").await.expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("text");
    (fleet, response)
}

#[actix_rt::test]
async fn credentials_that_were_not_kept_are_not_left_out_for_the_upstream() {
    let accounts = with_accounts(2, vec![account("ann", &["key-of-ann"])]);
    let (fleet, response) = request_during_change(&accounts, &document(3, &routes())).await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("document changed"), "{response}");
    assert_eq!(heads(&fleet), "");
}

#[actix_rt::test]
async fn credentials_that_were_kept_are_not_passed_on_once_they_are_for_the_node() {
    let accounts = with_accounts(3, vec![account("ann", &["key-of-ann"])]);
    let (fleet, response) = request_during_change(&document(2, &routes()), &accounts).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(heads(&fleet).contains("account: ann"));
    assert!(!heads(&fleet).contains("key-of-ann"));
}

#[actix_rt::test]
async fn an_id_like_that_of_a_call_lets_nobody_in() {
    let fleet = fleet().await;
    let keyless = request(&fleet, "/a/x", "r1.1", "").await;
    assert_eq!(keyless.status, 503);
    assert!(
        keyless.fields.contains("Retry-After: "),
        "{}",
        keyless.fields
    );
    let wrong = "Authorization: Bearer key-of-eve\r\n";
    assert_eq!(request(&fleet, "/a/x", "r1.2", wrong).await.status, 401);
    assert_eq!(heads(&fleet), "");
    assert_eq!(request(&fleet, "/a/x", "r1.3", GOOD).await.status, 200);
    assert!(heads(&fleet).contains("account: ann"));
}

#[actix_rt::test]
async fn a_call_inherits_the_account_of_the_request_that_makes_it() {
    let fleet = fleet().await;
    let callers = fleet.members[0].listen.callers;
    let running = ask(callers, "GET", "/a/slow", "p", GOOD);
    let calls = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        let forged = ask(callers, "GET", "/a/ok", "p.2", "account: bob\r\n").await;
        assert_eq!(forged.status, 200);
        ask(callers, "GET", "/a/ok", "p.1", "").await
    };
    let (parent, call) = futures::join!(running, calls);
    assert_eq!((parent.status, call.status), (200, 200));
    let heads = heads(&fleet);
    assert_eq!(heads.matches("account: ann").count(), 3, "{heads}");
    assert!(!heads.contains("bob"), "{heads}");
    let late = request(&fleet, "/a/ok", "p.3", "").await;
    assert_eq!(late.status, 503, "the parent has ended");
}

#[actix_rt::test]
async fn the_account_goes_with_every_attempt() {
    let fleet = fleet().await;
    for member in &fleet.members {
        member.upstream.sheds.set(1);
    }
    assert_eq!(request(&fleet, "/a/ok", "r1", GOOD).await.status, 200);
    let heads = heads(&fleet);
    assert_eq!(heads.matches("account: ann").count(), 3, "{heads}");
    assert!(!heads.contains("key-of-ann"), "{heads}");
}

#[actix_rt::test]
async fn an_unknown_route_and_a_missing_document_come_before_the_key() {
    let fleet = fleet().await;
    assert_eq!(request(&fleet, "/none/x", "r1", "").await.status, 404);
    let empty = TestFleet::start(&[("a", "z1")]).await;
    assert_eq!(request(&empty, "/a/x", "r2", "").await.status, 503);
}
