//! Servers that send bytes without end in place of a response.

use lagoonshore_relay::{
    header_scheme::HeaderScheme,
    http1::{
        exchange::{ExchangeError, SentRequest},
        memory_budget::MemoryBudget,
        pool::{ANY_IDLE_TIME, ConnectionPool, SendError},
    },
};
use rstest::rstest;
use rustix::time::{ClockId, clock_gettime};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

mod support;

const SCHEME: HeaderScheme = support::SCHEME;
/// Memory of the messages of one test, in bytes.
const MEMORY_BYTES: usize = 1 << 20;
/// Bytes that the framing of a chunk of one byte takes, that byte included.
const TINY_CHUNK_BYTES: usize = 6;
/// Bytes after which a server ends its response: as many as the most costly framing of a body takes that
/// would fill the memory. A response that is not given up before ends in another way.
const OFFERED_BYTES_MAX: usize = TINY_CHUNK_BYTES * MEMORY_BYTES;
/// Memory of the messages of a test with many connections, in bytes; the response of each would fill it.
const MANY_MEMORY_BYTES: usize = 4 * MEMORY_BYTES;
/// Time after which a request counts as hanging.
const HANG_TIME: Duration = Duration::from_mins(1);
/// Processor time that the reader may take in one test; waiting for a processor does not count.
const PROCESSOR_TIME_MAX: Duration = Duration::from_millis(700);

/// Starts a server on its own thread that answers each request with `first` and then repeats `rest`
/// until the client closes the connection, or [`OFFERED_BYTES_MAX`] are sent.
fn start_server(first: &'static str, rest: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || send_without_end(stream, first, rest));
        }
    });
    address
}

fn send_without_end(mut stream: TcpStream, first: &str, rest: &str) {
    let mut request = [0; 1024];
    let is_sent = stream.read(&mut request).is_ok() && stream.write_all(first.as_bytes()).is_ok();
    let block = rest.repeat((16 * 1024 / rest.len()).max(1));
    let mut left = OFFERED_BYTES_MAX;
    while is_sent && left >= block.len() && stream.write_all(block.as_bytes()).is_ok() {
        left -= block.len();
    }
}

fn request() -> SentRequest {
    SentRequest {
        id: Some("i1".into()),
        ..SentRequest::get("h", "/a/ok")
    }
}

/// Processor time of this thread so far.
fn processor_time() -> Duration {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    Duration::try_from(used).expect("a time that does not run backwards")
}

/// Guards against a reader whose work grows faster than what it reads.
fn check_processor_time(before: Duration) {
    let used = processor_time().saturating_sub(before);
    assert!(used > Duration::ZERO, "the processor time is counted");
    assert!(used < PROCESSOR_TIME_MAX, "{used:?}");
}

/// Sends a request, which fails; returns why.
async fn send(pool: &ConnectionPool) -> ExchangeError {
    let sending = pool.send(request(), &SCHEME, ANY_IDLE_TIME);
    let result = tokio::time::timeout(HANG_TIME, sending).await;
    match result.expect("the request does not hang") {
        Ok(response) => panic!("no response is expected: {response:?}"),
        Err(SendError::Exchange(error)) => error,
        Err(error) => panic!("the server accepts connections: {error:?}"),
    }
}

#[rstest]
#[case::head("HTTP/1.1 200 OK\r\n", "x: y\r\n")]
#[case::field("HTTP/1.1 200 OK\r\nx: ", "y")]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::other_responses("", "HTTP/1.1 200 OK\r\nRequest-Id: i0\r\nContent-Length: 0\r\n\r\n")]
#[case::body_until_close("HTTP/1.1 200 OK\r\nRequest-Id: i1\r\n\r\n", "body")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "1\r\nx\r\n"
)]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "x: y\r\n"
)]
#[case::no_http("", "no answer at all ")]
#[actix_rt::test]
async fn a_response_without_end_is_given_up_before_it_fills_the_memory(
    #[case] first: &'static str,
    #[case] rest: &'static str,
) {
    let pool = ConnectionPool::new(start_server(first, rest), MemoryBudget::new(MEMORY_BYTES));
    let before = processor_time();
    let error = send(&pool).await;
    assert_eq!(error, ExchangeError::NoAnswer);
    check_processor_time(before);
}

#[actix_rt::test]
async fn many_bodies_without_end_stay_within_the_memory_budget() {
    let address = start_server("HTTP/1.1 200 OK\r\nRequest-Id: i1\r\n\r\n", "body");
    let budget = MemoryBudget::new(MANY_MEMORY_BYTES);
    let pool = ConnectionPool::new(address, budget.clone());
    let before = processor_time();
    let errors = futures::future::join_all((0..40).map(|_| send(&pool))).await;
    assert_eq!(errors, vec![ExchangeError::NoAnswer; 40]);
    check_processor_time(before);
    assert_eq!(budget.free(), MANY_MEMORY_BYTES, "all memory is free again");
}

#[rstest]
#[case::it_fits(4 << 20, true)]
#[case::it_does_not_fit(1 << 20, false)]
#[actix_rt::test]
async fn a_long_response_is_given_up_if_the_memory_budget_is_used_up(
    #[case] bytes: usize,
    #[case] is_received: bool,
) {
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nContent-Length: 3145728\r\n\r\n";
    let pool = ConnectionPool::new(start_server(head, "body"), MemoryBudget::new(bytes));
    let response = pool.send(request(), &SCHEME, ANY_IDLE_TIME).await;
    assert_eq!(response.is_ok(), is_received);
}
