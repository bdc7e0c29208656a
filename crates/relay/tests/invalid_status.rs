//! Responses whose status is no HTTP status code.

use lagoonshore_relay::{
    header_scheme::HeaderScheme,
    http1::{
        exchange::{ExchangeError, SentRequest},
        memory_budget::MemoryBudget,
        pool::{ANY_IDLE_TIME, ConnectionPool, SendError},
    },
};
use rstest::rstest;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

mod support;

const SCHEME: HeaderScheme = support::SCHEME;
/// Memory of the messages of one test, in bytes.
const MEMORY_BYTES: usize = 1 << 20;
/// Time after which a request counts as hanging.
const HANG_TIME: Duration = Duration::from_secs(10);

/// Starts a server that answers one request with `response` and keeps the connection open.
fn start_server(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).expect("a request");
        stream
            .write_all(response.as_bytes())
            .expect("an open connection");
        // Ends when the client closes the connection.
        let _ = stream.read(&mut request);
    });
    address
}

/// Sends a request to a server that answers with `response`; returns the error, or the status received.
async fn send(response: String) -> Result<u16, SendError> {
    let pool = ConnectionPool::new(start_server(response), MemoryBudget::new(MEMORY_BYTES));
    let request = SentRequest {
        id: Some("i1".into()),
        ..SentRequest::get("h", "/a/ok")
    };
    let sending = pool.send(request, &SCHEME, ANY_IDLE_TIME);
    let result = tokio::time::timeout(HANG_TIME, sending).await;
    let response = result.expect("the request does not hang")?;
    Ok(response.head.status)
}

/// Guards against a status that passes for that of an interim response, so that the body behind it is taken
/// for the response.
#[rstest]
#[case::zero("000")]
#[case::below_the_interim_ones("099")]
#[case::above_all_classes("600")]
#[case::highest("999")]
#[actix_rt::test]
async fn a_response_with_an_invalid_status_is_no_response(
    #[case] status: &str,
    #[values("", "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nContent-Length: 0\r\n\r\n")] body: &str,
) {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} x\r\nRequest-Id: i1\r\nContent-Length: {length}\r\n\r\n");
    let result = send(head + body).await;
    assert_eq!(result, Err(SendError::Exchange(ExchangeError::NoAnswer)));
}

#[rstest]
#[case::lowest(200)]
#[case::highest(599)]
#[actix_rt::test]
async fn a_valid_status_is_received(#[case] status: u16) {
    let response = format!("HTTP/1.1 {status} x\r\nRequest-Id: i1\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(send(response).await, Ok(status));
}
