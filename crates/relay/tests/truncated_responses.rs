//! Servers that close the connection after any number of bytes of a response.

use lagoonshore_relay::http1::{
    exchange::{ExchangeError, SentRequest},
    memory_budget::MemoryBudget,
    pool::{ANY_IDLE_TIME, ConnectionPool, SendError},
};
use rstest::rstest;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    thread,
};

mod support;

/// Starts a server on its own thread whose answer to the connection number `n` ends after `n` bytes
/// of `response`.
fn start_server(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (length, stream) in listener.incoming().flatten().enumerate() {
            let (mut stream, mut request) = (stream, [0; 1024]);
            let is_sent = stream.read(&mut request).is_ok()
                && stream.write_all(&response.as_bytes()[..length]).is_ok();
            if is_sent {
                // If the client has closed already, it has seen enough.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    });
    address
}

/// Sends one request for each number of bytes; returns the lengths at which the response is taken for
/// complete.
async fn complete_lengths(response: &'static str) -> Vec<usize> {
    let pool = ConnectionPool::new(start_server(response), MemoryBudget::new(1 << 20));
    let mut complete = Vec::new();
    for length in 0..=response.len() {
        let request = SentRequest {
            id: Some("i1".into()),
            ..SentRequest::get("h", "/a/ok")
        };
        match pool.send(request, &support::SCHEME, ANY_IDLE_TIME).await {
            Ok(_) => complete.push(length),
            Err(SendError::Exchange(ExchangeError::ClosedEarly)) => {
                assert!(is_between_responses(&response[..length]), "{length} bytes");
            }
            Err(SendError::Exchange(error)) => assert_eq!(error, ExchangeError::CutOff),
            Err(error) => panic!("the server accepts connections: {error:?}"),
        }
        // A complete response may leave an idle connection, which the server has closed.
        pool.clear();
    }
    complete
}

/// Returns whether nothing of the final response was received.
fn is_between_responses(received: &str) -> bool {
    received.is_empty() || (received.starts_with("HTTP/1.1 1") && received.ends_with("\r\n\r\n"))
}

#[rstest]
#[case::length(
    "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody"
)]
#[case::no_body("HTTP/1.1 204 No Content\r\nRequest-Id: i1\r\nSignature: s\r\n\r\n")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n\
     4\r\nbody\r\n0\r\n\r\n"
)]
#[case::trailers(
    "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n\
     4\r\nbody\r\n0\r\nx: y\r\n\r\n"
)]
#[case::interim(
    "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: i1\r\n\
     Signature: s\r\nContent-Length: 4\r\n\r\nbody"
)]
#[actix_rt::test]
async fn a_truncated_response_is_never_taken_for_a_complete_one(#[case] response: &'static str) {
    assert_eq!(complete_lengths(response).await, vec![response.len()]);
}

#[actix_rt::test]
async fn a_response_without_length_is_never_complete_within_its_head() {
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nSignature: s\r\n\r\n";
    let response = "HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nSignature: s\r\n\r\nbody";
    // Where its body ends is known only by the end of the connection.
    let expected: Vec<usize> = (head.len()..=response.len()).collect();
    assert_eq!(complete_lengths(response).await, expected);
}
