//! Rendering of a request for the upstream: the caller's fields and those that the relay sets.

use crate::{header_scheme::HeaderScheme, http1::exchange::SentRequest};

use bytes::{BufMut, BytesMut};
use lagoonshore_protocol::relay_messages::RelayRequest;
use std::{fmt::Write, time::Duration};

/// Buffer capacity for the fields that the relay sets, in bytes.
const ADDED_FIELDS_BYTES: usize = 256;

/// Renders `request` for the upstream named `expected`, with `time_left` as its time limit.
pub(crate) fn render_request(
    scheme: &HeaderScheme,
    request: &RelayRequest,
    expected: &str,
    time_left: Duration,
) -> SentRequest {
    let mut head = BytesMut::with_capacity(request.fields.len() + ADDED_FIELDS_BYTES);
    let RelayRequest {
        id,
        origin,
        method,
        target,
        ..
    } = request;
    // Writing to a buffer in memory cannot fail.
    let _ = write!(head, "{method} {target} HTTP/1.1\r\n");
    head.put_slice(&request.fields);
    let _ = write!(head, "{}: {id}\r\n", scheme.request_id);
    let _ = write!(head, "{}: {}\r\n", scheme.time_limit, time_left.as_millis());
    let _ = write!(head, "{}: {expected}\r\n", scheme.expected_instance);
    let _ = write!(head, "{}: {origin}\r\n", scheme.origin_service);
    if let Some(account) = &request.account {
        let _ = write!(head, "{}: {account}\r\n", scheme.account);
    }
    if !request.body.is_empty() || !matches!(method.as_str(), "GET" | "HEAD") {
        let _ = write!(head, "Content-Length: {}\r\n", request.body.len());
    }
    head.put_slice(b"\r\n");
    SentRequest {
        head: head.freeze(),
        body: request.body.bytes(),
        id: Some(id.clone()),
        is_head: method == "HEAD",
    }
}
