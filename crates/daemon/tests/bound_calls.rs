//! Non-idempotent calls of an upstream go to one executor and elsewhere only on proof.

mod keyed_support;
mod support;

use keyed_support::{CutRelay, KeyedAnswer, RECORD, TallyUpstream, introduce_at, post};
use lagoonshore_protocol::headers;
use support::TestNode;

const PORTAL: &str = include_str!("../../../examples/kocaeli/records/diary-portal.yaml");
const PATH: &str = "/doses/7";

/// A portal node whose outbound door reaches medication-log in its own zone through a relay, and
/// in another zone directly.
struct CallChain {
    upstream: TallyUpstream,
    portal: TestNode,
    near: TestNode,
    relay: CutRelay,
}

impl CallChain {
    async fn start(held: &[&str]) -> Self {
        let upstream = TallyUpstream::new(held);
        let address = upstream.open().await;
        let near = support::node("medication-log", "izmit", address, &[RECORD]).await;
        let far = support::node("medication-log", "gebze", address, &[RECORD]).await;
        let relay = CutRelay::start(near.doors.peer).await;
        let unused = support::address("127.0.0.1:1");
        let portal = support::node("diary-portal", "izmit", unused, &[PORTAL, RECORD]).await;
        introduce_at(&portal, &near, relay.address);
        support::introduce(&portal, &far);
        Self {
            upstream,
            portal,
            near,
            relay,
        }
    }

    async fn call(&self, key: &str) -> KeyedAnswer {
        call_at(self.portal.doors.outbound, key).await
    }
}

async fn call_at(outbound: std::net::SocketAddr, key: &str) -> KeyedAnswer {
    let client = awc::Client::builder().disable_timeout().finish();
    let call = client
        .post(format!("http://{outbound}{PATH}"))
        .insert_header(("host", "medication-log"))
        .insert_header((headers::IDEMPOTENCY_KEY, key));
    let mut response = call.send_body("5 ml").await.expect("the door answers");
    let header = |name| {
        let value = response.headers().get(name).map(|value| value.to_str());
        value.and_then(Result::ok).unwrap_or_default().to_owned()
    };
    let verdict = format!("{} {}", header(headers::OUTCOME), header(headers::REASON));
    KeyedAnswer {
        status: response.status().as_u16(),
        verdict: verdict.trim().to_owned(),
        body: response.body().await.expect("a whole body").to_vec(),
        offer: None,
    }
}

#[actix_rt::test]
async fn a_call_that_was_proved_not_to_have_run_goes_elsewhere() {
    let chain = CallChain::start(&[]).await;
    chain.relay.cut();
    let parent = parent_with_tokens(&chain);
    let answer = call_as(&chain, &parent).await;
    answer.assert_verdict(200, "ran");
    chain.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_call_in_doubt_goes_nowhere_else_and_gets_its_answer_later() {
    let chain = CallChain::start(&[PATH]).await;
    let outbound = chain.portal.doors.outbound;
    let call = actix_rt::spawn(async move { call_at(outbound, "order-1").await });
    chain.upstream.started(1).await;
    chain.relay.cut();
    let answer = call.await.expect("the call ends");
    answer.assert_verdict(502, "unknown connection-lost");
    let answer = chain.call("order-1").await;
    answer.assert_verdict(503, "unknown home-unreachable");
    chain.relay.heal();
    chain.upstream.release(PATH);
    let answer = chain.call("order-1").await;
    answer.assert_body(&format!("{PATH} 5 ml order-1 run 1"));
    chain.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_call_bound_to_a_process_that_is_gone_never_runs_in_the_next_one() {
    let chain = CallChain::start(&[]).await;
    chain.call("order-1").await.assert_verdict(200, "ran");
    let address = chain.upstream.open().await;
    let restarted = support::node("medication-log", "izmit", address, &[RECORD]).await;
    support::introduce(&chain.portal, &restarted);
    let answer = chain.call("order-1").await;
    answer.assert_verdict(503, "unknown home-unreachable");
    chain.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_message_for_another_incarnation_is_unknown_and_never_run() {
    use lagoonshore_protocol::messages::{CallResult, ExecutionKey};
    let chain = CallChain::start(&[]).await;
    let mut request = keyed_support::call(PATH, "order-1", "5 ml");
    request.key = Some(ExecutionKey::Bound {
        key: "order-1".into(),
        executor: chain.near.node.incarnation.wrapping_add(1),
    });
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_mins(1);
    let links = &chain.portal.node.links;
    let call = links.call(chain.near.doors.peer, request, deadline);
    let reply = call.await.expect("the node answers");
    let CallResult::Refused(refusal) = reply.result else {
        panic!("found {reply:?}");
    };
    assert_eq!(refusal.outcome.as_str(), "unknown");
    chain.upstream.assert_single_runs(0);
}

#[actix_rt::test]
async fn calls_without_a_key_get_one_from_the_request_being_served() {
    let chain = CallChain::start(&[]).await;
    let parent = parent_with_tokens(&chain);
    let answer = call_as(&chain, &parent).await;
    answer.assert_verdict(200, "ran");
    let expected = lagoonshore_coordination::at_most_once::child_key::derive(
        "parent-key",
        "medication-log",
        1,
    );
    let runs = chain.upstream.runs();
    assert_eq!(runs.keys().collect::<Vec<_>>(), [expected.as_str()]);
}

#[actix_rt::test]
async fn a_home_whose_upstream_refuses_connections_has_the_key_run_elsewhere_once() {
    let upstream = TallyUpstream::new(&[]);
    let closed = support::address("127.0.0.1:1");
    let home = support::node("medication-log", "izmit", closed, &[RECORD]).await;
    let address = upstream.open().await;
    let other = support::node("medication-log", "gebze", address, &[RECORD]).await;
    support::introduce(&home, &other);
    let key = keyed_support::offer(&home).await;
    for _ in 0..2 {
        let answer = post(home.doors.inbound, PATH, &key, "5 ml").await;
        answer.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    }
    upstream.assert_single_runs(1);
}

/// Opens a request being served at the portal, with a key and retry tokens.
fn parent_with_tokens(chain: &CallChain) -> String {
    use lagoonshore_coordination::{
        at_most_once::child_timer::ChildTimer,
        request::call_table::ServedCall,
        retries::{SharedTokens, retry_detector::RetryDetector},
    };
    use lagoonshore_state::units::{RequestImportance, TokenCount};
    let parent = ServedCall {
        importance: RequestImportance(0),
        deadline: tokio::time::Instant::now() + std::time::Duration::from_mins(1),
        caller: 0,
        retry_tokens: SharedTokens::new(TokenCount(8)),
        retries: RetryDetector::default(),
        key: Some("parent-key".into()),
        child_calls: 0,
        class: "dose-entry".into(),
        child_timer: ChildTimer::default(),
    };
    chain
        .portal
        .node
        .calls
        .borrow_mut()
        .open(parent)
        .to_string()
}

/// Makes a call for the request `parent`, without a key of its own.
async fn call_as(chain: &CallChain, parent: &str) -> KeyedAnswer {
    let client = awc::Client::builder().disable_timeout().finish();
    let call = client
        .post(format!("http://{}{PATH}", chain.portal.doors.outbound))
        .insert_header(("host", "medication-log"))
        .insert_header((headers::CALL, parent));
    let mut response = call.send_body("5 ml").await.expect("the door answers");
    let outcome = response.headers().get(headers::OUTCOME);
    let outcome = outcome.map(|value| value.to_str().unwrap_or_default().to_owned());
    KeyedAnswer {
        status: response.status().as_u16(),
        verdict: outcome.unwrap_or_default(),
        body: response.body().await.expect("a whole body").to_vec(),
        offer: None,
    }
}
