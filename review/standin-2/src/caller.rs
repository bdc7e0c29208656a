//! Callers: send requests to the node of their machine, and record the answers.

use crate::{http, record};

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Status that stands for a request without an answer.
pub const NO_ANSWER: u16 = 0;

/// Sends a request and returns the status of its answer.
pub fn send(
    node: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
    time_limit: Duration,
) -> u16 {
    let head = head(method, path, id, body.len(), time_limit);
    let answer = http::send(node, &head, body, time_limit + Duration::from_secs(2));
    let (status, reason) = match answer {
        Ok(answer) => (
            answer.status(),
            answer.field("lagoonshore-reason").unwrap_or("").to_owned(),
        ),
        Err(error) => (NO_ANSWER, error.to_string()),
    };
    record::line(&format!("reply {id} {status} {reason}"));
    status
}

/// Sends a request without a body, and returns its connection without waiting for the answer.
pub fn start(node: SocketAddr, path: &str, id: &str, time_limit: Duration) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = head("GET", path, id, 0, time_limit);
    stream.write_all(head.as_bytes()).ok()?;
    Some(stream)
}

fn head(method: &str, path: &str, id: &str, body: usize, time_limit: Duration) -> String {
    record::line(&format!("send  {id} {method} {path} body {body}"));
    let length = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {body}\r\n")
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         {length}\r\n",
        time_limit.as_millis()
    )
}
