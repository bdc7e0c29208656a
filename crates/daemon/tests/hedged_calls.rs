//! Hedges, retry tokens and the repeats of an upstream, over whole nodes on loopback.

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
/// Path of the call that the first instance to get it holds.
const HELD: &str = "/day/held";

/// Time to each other answer, so that a hedge follows long after the held call has arrived.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Calls in progress at once while the quantile is learned.
const CALLS_AT_ONCE: usize = 10;

/// How the upstream of the portal calls the medication log for one request.
#[derive(Clone, Copy, Debug)]
struct CallingWay {
    /// Whether it names the request that it calls for.
    echoes: bool,
    /// How often it makes the same call.
    times: usize,
}

/// The portal and two instances of the service that it calls.
struct CallingTrio {
    portal: TestNode,
    logs: [TestNode; 2],
}

impl CallingTrio {
    async fn start(way: CallingWay, logs: [SocketAddr; 2]) -> Self {
        let outbound = Rc::new(Cell::new(None));
        let door = outbound.clone();
        let upstream = support::upstream(move |request| {
            let door = door.get().expect("the node has started");
            call_medication(door, request, way)
        });
        // The deadline lies beyond the run of the test, so that it cancels nothing.
        let records =
            [PORTAL, MEDICATION].map(|record| record.replace("timeout: 1s", "timeout: 600s"));
        let records = records.each_ref().map(String::as_str);
        let portal = support::node("diary-portal", "izmit", upstream.await, &records).await;
        outbound.set(Some(portal.doors.outbound));
        let [izmit, gebze] = logs;
        let logs = [
            support::node("medication-log", "izmit", izmit, &records[1..]).await,
            support::node("medication-log", "gebze", gebze, &records[1..]).await,
        ];
        for log in &logs {
            support::introduce(&portal, log);
        }
        Self { portal, logs }
    }

    async fn get(&self, path: &str) -> String {
        let answer = support::send(self.portal.doors.inbound, "GET", path, &[], "").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        answer.body
    }

    /// Calls until the high quantile is learned and the budget allows a hedge.
    async fn learn_quantile(&self) {
        let route = RouteKey {
            service: "medication-log".into(),
            class: "day-view".into(),
        };
        while !may_hedge(&self.portal.node, &route) {
            join_all((0..CALLS_AT_ONCE).map(|_| self.get("/day/7"))).await;
        }
    }

    fn sum(&self, count: impl Fn(&SharedNode) -> u64) -> u64 {
        self.logs.iter().map(|log| count(&log.node)).sum()
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
            handed_over: self.sum(|log| log.counters.borrow().handed_over),
            answered: self.sum(|log| log.counters.borrow().answered),
        }
    }
}

/// What the three nodes counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallCounts {
    calls: u64,
    retries: u64,
    portal_answered: u64,
    hedges_made: u64,
    hedges_won: u64,
    cancelled: u64,
    tokens_spent: u64,
    handed_over: u64,
    answered: u64,
}

fn may_hedge(node: &SharedNode, route: &RouteKey) -> bool {
    let retries = node.retries.borrow();
    retries.hedge_delay(route).is_some() && retries.summary().hedge_budget >= 1.0
}

async fn call_medication(door: SocketAddr, request: HttpRequest, way: CallingWay) -> HttpResponse {
    let id = headers::find(&request.headers, headers::CALL).expect("a call id");
    let mut fields = vec![("host", "medication-log")];
    if way.echoes {
        fields.push((headers::CALL, id));
    }
    let mut lines = Vec::new();
    for _ in 0..way.times {
        let child = support::send(door, "GET", &request.path, &fields, "").await;
        lines.push(format!(
            "{} {} {}",
            child.status, child.outcome, child.reason
        ));
    }
    support::ok(&lines.join(";"))
}

/// Starts an upstream that answers every call but the first to [`HELD`], whose handler runs until
/// its connection ends. The HTTP door of the other fakes lets a handler run on after that, since
/// its client may have closed one half only.
async fn holding_upstream(held: Rc<Cell<bool>>, dropped: Rc<Cell<bool>>) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.expect("a free port");
    let bound = listener.local_addr().expect("an address");
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
        if path == HELD && !held.replace(true) {
            let _mark = DropMark(dropped);
            // Nothing more is sent, so the read ends when the connection does.
            let _ = stream.read(&mut [0]).await;
            return;
        }
        actix_rt::time::sleep(ANSWER_TIME).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndose";
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

/// Reads the head of a request without a body; `None` once the connection has ended.
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
struct DropMark(Rc<Cell<bool>>);

impl Drop for DropMark {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

#[actix_rt::test]
async fn a_hedge_answers_and_the_held_attempt_is_cancelled_at_its_upstream() {
    let (held, dropped) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let logs = [
        holding_upstream(held.clone(), dropped.clone()).await,
        holding_upstream(held, dropped.clone()).await,
    ];
    let way = CallingWay {
        echoes: true,
        times: 1,
    };
    let trio = CallingTrio::start(way, logs).await;
    trio.learn_quantile().await;
    let before = trio.counts();
    assert_eq!(trio.get(HELD).await, "200 ran ");
    support::until(|| dropped.get()).await;
    let expected = CallCounts {
        calls: before.calls + 1,
        retries: before.retries,
        portal_answered: before.portal_answered + 1,
        hedges_made: before.hedges_made + 1,
        hedges_won: before.hedges_won + 1,
        cancelled: before.cancelled + 1,
        tokens_spent: before.tokens_spent + 1,
        handed_over: before.handed_over + 2,
        answered: before.answered + 1,
    };
    assert_eq!(trio.counts(), expected);
}

#[rstest]
#[case::silent(false, 1)]
#[case::echoing(true, 2)]
#[actix_rt::test]
async fn only_a_call_that_names_its_request_is_sent_again(
    #[case] echoes: bool,
    #[case] attempts: u64,
) {
    let closed = support::address("127.0.0.1:1");
    let way = CallingWay { echoes, times: 1 };
    let trio = CallingTrio::start(way, [closed, closed]).await;
    assert_eq!(trio.get("/day/7").await, "503 not-run upstream-unreachable");
    assert_eq!(trio.sum(|log| log.counters.borrow().offered), attempts);
    let counts = trio.counts();
    assert_eq!(
        (counts.retries, counts.tokens_spent),
        (attempts - 1, attempts - 1)
    );
}

#[actix_rt::test]
async fn repeats_of_the_upstream_spend_tokens_until_none_is_left() {
    let log = |_| async { support::ok("dose") };
    let logs = [support::upstream(log).await, support::upstream(log).await];
    let way = CallingWay {
        echoes: true,
        times: 4,
    };
    let trio = CallingTrio::start(way, logs).await;
    let lines = trio.get("/day/7").await;
    assert_eq!(lines, "200 ran ;200 ran ;200 ran ;503 not-run retry-limit");
    let counters = trio.portal.node.retries.borrow().summary().counters;
    assert_eq!(
        (
            counters.tokens_spent,
            counters.repeats_allowed,
            counters.repeats_refused
        ),
        (2, 2, 1)
    );
    assert_eq!(trio.sum(|log| log.counters.borrow().offered), 3);
}

#[actix_rt::test]
async fn answers_that_come_late_and_in_the_other_order_reach_their_own_calls() {
    let arrived = Rc::new(Cell::new(false));
    let ended: Rc<RefCell<Vec<&str>>> = Rc::default();
    let flags = (arrived.clone(), ended.clone());
    let upstream = support::upstream(move |request: HttpRequest| {
        let (arrived, ended) = flags.clone();
        async move {
            if request.path == "/day/first" {
                arrived.set(true);
                support::until(|| !ended.borrow().is_empty()).await;
            }
            support::ok(&request.path)
        }
    });
    let records = [PORTAL, MEDICATION].map(|record| record.replace("timeout: 1s", "timeout: 600s"));
    let records = records.each_ref().map(String::as_str);
    let log = support::node("medication-log", "izmit", upstream.await, &records[1..]).await;
    let unused = support::address(ANY_PORT);
    let portal = support::node("diary-portal", "izmit", unused, &records).await;
    support::introduce(&portal, &log);
    let call = async |path| {
        let fields = [("host", "medication-log")];
        let answer = support::send(portal.doors.outbound, "GET", path, &fields, "").await;
        ended.borrow_mut().push(path);
        answer.body
    };
    let second = async {
        support::until(|| arrived.get()).await;
        call("/day/second").await
    };
    let bodies = join(call("/day/first"), second).await;
    assert_eq!(bodies, ("/day/first".to_owned(), "/day/second".to_owned()));
    assert_eq!(*ended.borrow(), ["/day/second", "/day/first"]);
}
