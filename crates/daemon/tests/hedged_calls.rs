//! Hedged calls, retry tokens and retries by an upstream, through whole nodes on loopback.
//!
//! Hedges and retries multiply load: a losing attempt that is not cancelled keeps its slot, and
//! retries without tokens overload a slow service. Responses that arrive out of order must not be
//! mixed up.

mod support;

use futures::future::{join, join_all};
use lagoonshore_coordination::retries::RouteKey;
use lagoonshore_daemon::node::SharedNode;
use lagoonshore_protocol::headers;
use lagoonshore_transport::http_listener::{HttpRequest, HttpResponse};
use rstest::rstest;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use support::{ANY_PORT, TestNode};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

const PORTAL: &str = include_str!("../../../examples/kocaeli/records/diary-portal.yaml");
const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");
/// Path whose first call is held by the instance that gets it.
const HELD_PATH: &str = "/day/held";

/// Response time of all other calls. The hedge delay is learned from it, so the hedge starts well
/// after the held call has arrived.
const RESPONSE_DELAY: Duration = Duration::from_millis(200);
/// Calls in progress at the same time while the latency quantile is learned.
const CONCURRENT_CALLS: usize = 10;

/// `CallPattern` says how the portal's upstream calls the medication log for one request.
#[derive(Clone, Copy, Debug)]
struct CallPattern {
    /// Whether it sends the call id of its parent request.
    sends_call_id: bool,
    /// How many times it makes the same call.
    call_count: usize,
}

/// `CallingFleet` is a portal and two instances of the medication log, which it calls.
struct CallingFleet {
    portal: TestNode,
    instances: [TestNode; 2],
}

impl CallingFleet {
    async fn start(pattern: CallPattern, instances: [SocketAddr; 2]) -> Self {
        let outbound = Rc::new(Cell::new(None));
        let address = outbound.clone();
        let upstream = support::start_upstream(move |request| {
            let address = address.get().expect("the node has started");
            call_medication(address, request, pattern)
        });
        // A timeout longer than the test, so that no call is cancelled by its deadline.
        let records =
            [PORTAL, MEDICATION].map(|record| record.replace("timeout: 1s", "timeout: 600s"));
        let records = records.each_ref().map(String::as_str);
        let portal = support::start_node("diary-portal", "izmit", upstream.await, &records).await;
        outbound.set(Some(portal.addresses.outbound));
        let [izmit, gebze] = instances;
        let instances = [
            support::start_node("medication-log", "izmit", izmit, &records[1..]).await,
            support::start_node("medication-log", "gebze", gebze, &records[1..]).await,
        ];
        for instance in &instances {
            support::add_instance(&portal, instance);
        }
        Self { portal, instances }
    }

    async fn get(&self, path: &str) -> String {
        let response = support::send(self.portal.addresses.inbound, "GET", path, &[], "").await;
        assert_eq!(response.status, 200, "{response:?}");
        response.body
    }

    /// Makes calls until the latency quantile of the hedge delay is known and the budget allows a
    /// hedge.
    async fn warm_up(&self) {
        let route = RouteKey {
            service: "medication-log".into(),
            class: "day-view".into(),
        };
        while !can_hedge(&self.portal.node, &route) {
            join_all((0..CONCURRENT_CALLS).map(|_| self.get("/day/7"))).await;
        }
    }

    fn sum(&self, count: impl Fn(&SharedNode) -> u64) -> u64 {
        self.instances
            .iter()
            .map(|instance| count(&instance.node))
            .sum()
    }

    fn counts(&self) -> CallCounts {
        let retries = self.portal.node.retries.borrow().summary().counters;
        let counters = self.portal.node.counters.borrow();
        CallCounts {
            calls: counters.calls,
            retries: counters.retries,
            portal_answered: counters.answered,
            hedges_made: retries.hedges_made,
            hedges_won: retries.hedges_won,
            cancelled: retries.attempts_cancelled,
            tokens_spent: retries.tokens_spent,
            dispatched: self.sum(|node| node.counters.borrow().dispatched),
            answered: self.sum(|node| node.counters.borrow().answered),
        }
    }
}

/// Counters of the portal, and sums over both instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallCounts {
    calls: u64,
    retries: u64,
    portal_answered: u64,
    hedges_made: u64,
    hedges_won: u64,
    cancelled: u64,
    tokens_spent: u64,
    dispatched: u64,
    answered: u64,
}

fn can_hedge(node: &SharedNode, route: &RouteKey) -> bool {
    let retries = node.retries.borrow();
    retries.hedge_delay(route).is_some() && retries.summary().hedge_budget >= 1.0
}

async fn call_medication(
    address: SocketAddr,
    request: HttpRequest,
    pattern: CallPattern,
) -> HttpResponse {
    let id = headers::find(&request.headers, headers::CALL).expect("the request has a call id");
    let mut fields = vec![("host", "medication-log")];
    if pattern.sends_call_id {
        fields.push((headers::CALL, id));
    }
    let mut lines = Vec::new();
    for _ in 0..pattern.call_count {
        let child = support::send(address, "GET", &request.path, &fields, "").await;
        lines.push(format!(
            "{} {} {}",
            child.status, child.outcome, child.reason
        ));
    }
    support::ok_response(&lines.join(";"))
}

/// Starts an upstream that responds to every call but the first to [`HELD_PATH`], whose handler
/// runs until its connection ends. [`support::start_upstream`] lets a handler run on after that,
/// since its client may have closed only one half of the connection.
async fn start_holding_upstream(held: Rc<Cell<bool>>, dropped: Rc<Cell<bool>>) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.expect("a port is free");
    let bound = listener.local_addr().expect("the listener is bound");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (held, dropped) = (held.clone(), dropped.clone());
            actix_rt::spawn(serve_or_hold(BufReader::new(stream), held, dropped));
        }
    });
    bound
}

async fn serve_or_hold(
    mut stream: BufReader<TcpStream>,
    held: Rc<Cell<bool>>,
    dropped: Rc<Cell<bool>>,
) {
    while let Some(path) = read_path(&mut stream).await {
        if path == HELD_PATH && !held.replace(true) {
            let _flag = DropFlag(dropped);
            // The client sends nothing more, so the read returns when the connection ends.
            let _ = stream.read(&mut [0]).await;
            return;
        }
        actix_rt::time::sleep(RESPONSE_DELAY).await;
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndose";
        if stream.write_all(response).await.is_err() {
            return;
        }
    }
}

/// Reads a request without a body and returns its path, or `None` once the connection has ended.
async fn read_path(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let read = stream.read_line(&mut head).await.ok()?;
        if read == 0 {
            return None;
        }
    }
    head.split(' ').nth(1).map(str::to_owned)
}

/// Sets a flag when it is dropped.
struct DropFlag(Rc<Cell<bool>>);

impl Drop for DropFlag {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

#[actix_rt::test]
async fn a_hedge_wins_and_the_held_attempt_is_cancelled_at_its_upstream() {
    let (held, dropped) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let instances = [
        start_holding_upstream(held.clone(), dropped.clone()).await,
        start_holding_upstream(held, dropped.clone()).await,
    ];
    let pattern = CallPattern {
        sends_call_id: true,
        call_count: 1,
    };
    let fleet = CallingFleet::start(pattern, instances).await;
    fleet.warm_up().await;
    let before = fleet.counts();
    assert_eq!(fleet.get(HELD_PATH).await, "200 ran ");
    support::wait_until(|| dropped.get()).await;
    let expected = CallCounts {
        calls: before.calls + 1,
        retries: before.retries,
        portal_answered: before.portal_answered + 1,
        hedges_made: before.hedges_made + 1,
        hedges_won: before.hedges_won + 1,
        cancelled: before.cancelled + 1,
        tokens_spent: before.tokens_spent + 1,
        dispatched: before.dispatched + 2,
        answered: before.answered + 1,
    };
    assert_eq!(fleet.counts(), expected);
}

#[rstest]
#[case::without_call_id(false, 1)]
#[case::with_call_id(true, 2)]
#[actix_rt::test]
async fn only_a_call_that_carries_its_parent_call_id_is_retried(
    #[case] sends_call_id: bool,
    #[case] attempts: u64,
) {
    let closed = support::parse_address("127.0.0.1:1");
    let pattern = CallPattern {
        sends_call_id,
        call_count: 1,
    };
    let fleet = CallingFleet::start(pattern, [closed, closed]).await;
    assert_eq!(
        fleet.get("/day/7").await,
        "503 not-run upstream-unreachable"
    );
    assert_eq!(fleet.sum(|node| node.counters.borrow().offered), attempts);
    let counts = fleet.counts();
    assert_eq!(
        (counts.retries, counts.tokens_spent),
        (attempts - 1, attempts - 1)
    );
}

#[actix_rt::test]
async fn retries_by_the_upstream_spend_tokens_until_none_is_left() {
    let handler = |_| async { support::ok_response("dose") };
    let instances = [
        support::start_upstream(handler).await,
        support::start_upstream(handler).await,
    ];
    let pattern = CallPattern {
        sends_call_id: true,
        call_count: 4,
    };
    let fleet = CallingFleet::start(pattern, instances).await;
    let lines = fleet.get("/day/7").await;
    assert_eq!(lines, "200 ran ;200 ran ;200 ran ;503 not-run retry-limit");
    let counters = fleet.portal.node.retries.borrow().summary().counters;
    assert_eq!(
        (
            counters.tokens_spent,
            counters.repeats_allowed,
            counters.repeats_refused
        ),
        (2, 2, 1)
    );
    assert_eq!(fleet.sum(|node| node.counters.borrow().offered), 3);
}

#[actix_rt::test]
async fn out_of_order_responses_reach_their_own_calls() {
    let arrived = Rc::new(Cell::new(false));
    let ended: Rc<RefCell<Vec<&str>>> = Rc::default();
    let flags = (arrived.clone(), ended.clone());
    let upstream = support::start_upstream(move |request: HttpRequest| {
        let (arrived, ended) = flags.clone();
        async move {
            if request.path == "/day/first" {
                arrived.set(true);
                support::wait_until(|| !ended.borrow().is_empty()).await;
            }
            support::ok_response(&request.path)
        }
    });
    let records = [PORTAL, MEDICATION].map(|record| record.replace("timeout: 1s", "timeout: 600s"));
    let records = records.each_ref().map(String::as_str);
    let instance =
        support::start_node("medication-log", "izmit", upstream.await, &records[1..]).await;
    let unused = support::parse_address(ANY_PORT);
    let portal = support::start_node("diary-portal", "izmit", unused, &records).await;
    support::add_instance(&portal, &instance);
    let call = async |path| {
        let fields = [("host", "medication-log")];
        let response = support::send(portal.addresses.outbound, "GET", path, &fields, "").await;
        ended.borrow_mut().push(path);
        response.body
    };
    let second = async {
        support::wait_until(|| arrived.get()).await;
        call("/day/second").await
    };
    let bodies = join(call("/day/first"), second).await;
    assert_eq!(bodies, ("/day/first".to_owned(), "/day/second".to_owned()));
    assert_eq!(*ended.borrow(), ["/day/second", "/day/first"]);
}
