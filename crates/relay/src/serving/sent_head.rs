//! The request as it goes to the upstream: what its caller sent, with the fields that the system
//! sets.

use crate::{header_scheme::HeaderScheme, http1::exchange::SentRequest};

use bytes::{BufMut, BytesMut};
use lagoonshore_protocol::relay_messages::RelayRequest;
use std::{fmt::Write, time::Duration};

/// Room for the fields that the system sets, in bytes.
const OWN_FIELDS_BYTES: usize = 256;

/// Renders `request` for the upstream named `expected`, which may work on it for `left`.
pub(crate) fn sent_request(
    scheme: &HeaderScheme,
    request: &RelayRequest,
    expected: &str,
    left: Duration,
) -> SentRequest {
    let mut head = BytesMut::with_capacity(request.fields.len() + OWN_FIELDS_BYTES);
    let RelayRequest {
        id,
        origin,
        method,
        target,
        ..
    } = request;
    // Writing to a buffer in memory does not fail.
    let _ = write!(head, "{method} {target} HTTP/1.1\r\n");
    head.put_slice(&request.fields);
    let _ = write!(head, "{}: {id}\r\n", scheme.request_id);
    let _ = write!(head, "{}: {}\r\n", scheme.time_limit, left.as_millis());
    let _ = write!(head, "{}: {expected}\r\n", scheme.expected_instance);
    let _ = write!(head, "{}: {origin}\r\n", scheme.origin_service);
    if !request.body.is_empty() || !matches!(method.as_str(), "GET" | "HEAD") {
        let _ = write!(head, "Content-Length: {}\r\n", request.body.len());
    }
    head.put_slice(b"\r\n");
    SentRequest {
        head: head.freeze(),
        body: request.body.clone(),
        id: Some(id.clone()),
        is_head: method == "HEAD",
    }
}
