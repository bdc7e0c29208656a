//! Non-idempotent calls of an upstream are bound to one executor, and go to another instance only
//! when it is proven that the first did not run them. A call whose response was lost may have run;
//! a retry on another instance would run it twice.

mod keyed_support;
mod support;

use keyed_support::{CountingUpstream, KeyedResponse, RECORD, TcpProxy, add_instance_at, post};
use lagoonshore_protocol::headers;
use support::TestNode;

const PORTAL: &str = include_str!("../../../examples/kocaeli/records/diary-portal.yaml");
const PATH: &str = "/doses/7";

/// `CallChain` is a portal whose outbound listener reaches medication-log in its own zone through a
/// proxy, and in another zone directly.
struct CallChain {
    upstream: CountingUpstream,
    portal: TestNode,
    near: TestNode,
    proxy: TcpProxy,
}

impl CallChain {
    async fn start(held: &[&str]) -> Self {
        let upstream = CountingUpstream::new(held);
        let address = upstream.listen().await;
        let near = support::start_node("medication-log", "izmit", address, &[RECORD]).await;
        let far = support::start_node("medication-log", "gebze", address, &[RECORD]).await;
        let proxy = TcpProxy::start(near.addresses.peer).await;
        let unused = support::parse_address("127.0.0.1:1");
        let portal = support::start_node("diary-portal", "izmit", unused, &[PORTAL, RECORD]).await;
        add_instance_at(&portal, &near, proxy.address);
        support::add_instance(&portal, &far);
        Self {
            upstream,
            portal,
            near,
            proxy,
        }
    }

    async fn call(&self, key: &str) -> KeyedResponse {
        call_at(self.portal.addresses.outbound, key).await
    }
}

async fn call_at(outbound: std::net::SocketAddr, key: &str) -> KeyedResponse {
    let client = awc::Client::builder().disable_timeout().finish();
    let call = client
        .post(format!("http://{outbound}{PATH}"))
        .insert_header(("host", "medication-log"))
        .insert_header((headers::IDEMPOTENCY_KEY, key));
    let mut response = call.send_body("5 ml").await.expect("the node responds");
    let header = |name| {
        let value = response.headers().get(name).map(|value| value.to_str());
        value.and_then(Result::ok).unwrap_or_default().to_owned()
    };
    let outcome = format!("{} {}", header(headers::OUTCOME), header(headers::REASON));
    KeyedResponse {
        status: response.status().as_u16(),
        outcome: outcome.trim().to_owned(),
        body: response.body().await.expect("a complete body").to_vec(),
        offered_key: None,
    }
}

#[actix_rt::test]
async fn a_call_that_provably_did_not_run_is_retried_on_another_instance() {
    let chain = CallChain::start(&[]).await;
    chain.proxy.disconnect();
    let parent = open_parent_request(&chain);
    let response = call_for(&chain, &parent).await;
    response.assert_outcome(200, "ran");
    chain.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_call_of_unknown_outcome_stays_bound_and_gets_its_response_later() {
    let chain = CallChain::start(&[PATH]).await;
    let outbound = chain.portal.addresses.outbound;
    let call = actix_rt::spawn(async move { call_at(outbound, "order-1").await });
    chain.upstream.wait_for_runs(1).await;
    chain.proxy.disconnect();
    let response = call.await.expect("the call task ends");
    response.assert_outcome(502, "unknown connection-lost");
    let response = chain.call("order-1").await;
    response.assert_outcome(503, "unknown home-unreachable");
    chain.proxy.reconnect();
    chain.upstream.release(PATH);
    let response = chain.call("order-1").await;
    response.assert_body(&format!("{PATH} 5 ml order-1 run 1"));
    chain.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_call_bound_to_an_ended_process_never_runs_in_its_successor() {
    let chain = CallChain::start(&[]).await;
    chain.call("order-1").await.assert_outcome(200, "ran");
    let address = chain.upstream.listen().await;
    let restarted = support::start_node("medication-log", "izmit", address, &[RECORD]).await;
    support::add_instance(&chain.portal, &restarted);
    let response = chain.call("order-1").await;
    response.assert_outcome(503, "unknown home-unreachable");
    chain.upstream.assert_single_runs(1);
}

#[actix_rt::test]
async fn a_message_for_another_incarnation_is_unknown_and_never_runs() {
    use lagoonshore_protocol::messages::{CallResult, ExecutionKey};
    let chain = CallChain::start(&[]).await;
    let mut request = keyed_support::call(PATH, "order-1", "5 ml");
    request.key = Some(ExecutionKey::Bound {
        key: "order-1".into(),
        executor: chain.near.node.incarnation.wrapping_add(1),
    });
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_mins(1);
    let links = &chain.portal.node.links;
    let call = links.call(chain.near.addresses.peer, request, deadline);
    let reply = call.await.expect("the node responds");
    let CallResult::Refused(refusal) = reply.result else {
        panic!("found {reply:?}");
    };
    assert_eq!(refusal.outcome.as_str(), "unknown");
    chain.upstream.assert_single_runs(0);
}

#[actix_rt::test]
async fn calls_without_a_key_get_one_derived_from_the_parent_request() {
    let chain = CallChain::start(&[]).await;
    let parent = open_parent_request(&chain);
    let response = call_for(&chain, &parent).await;
    response.assert_outcome(200, "ran");
    let expected = lagoonshore_coordination::at_most_once::child_key::derive(
        "parent-key",
        "medication-log",
        1,
    );
    let runs = chain.upstream.runs();
    assert_eq!(runs.keys().collect::<Vec<_>>(), [expected.as_str()]);
}

#[actix_rt::test]
async fn a_home_whose_upstream_refuses_connections_runs_the_key_once_on_another_instance() {
    let upstream = CountingUpstream::new(&[]);
    let closed = support::parse_address("127.0.0.1:1");
    let home = support::start_node("medication-log", "izmit", closed, &[RECORD]).await;
    let address = upstream.listen().await;
    let other = support::start_node("medication-log", "gebze", address, &[RECORD]).await;
    support::add_instance(&home, &other);
    let key = keyed_support::request_key(&home).await;
    for _ in 0..2 {
        let response = post(home.addresses.inbound, PATH, &key, "5 ml").await;
        response.assert_body(&format!("{PATH} 5 ml {key} run 1"));
    }
    upstream.assert_single_runs(1);
}

/// Registers a request in progress at the portal, with a key and retry tokens, and returns its call
/// id.
fn open_parent_request(chain: &CallChain) -> String {
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
        retry_detector: RetryDetector::default(),
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

/// Makes a call for the request with the call id `parent`, without a key of its own.
async fn call_for(chain: &CallChain, parent: &str) -> KeyedResponse {
    let client = awc::Client::builder().disable_timeout().finish();
    let call = client
        .post(format!("http://{}{PATH}", chain.portal.addresses.outbound))
        .insert_header(("host", "medication-log"))
        .insert_header((headers::CALL, parent));
    let mut response = call.send_body("5 ml").await.expect("the node responds");
    let outcome = response.headers().get(headers::OUTCOME);
    let outcome = outcome.map(|value| value.to_str().unwrap_or_default().to_owned());
    KeyedResponse {
        status: response.status().as_u16(),
        outcome: outcome.unwrap_or_default(),
        body: response.body().await.expect("a complete body").to_vec(),
        offered_key: None,
    }
}
