//! Serialization of responses to callers.

use super::request_handler::ServerResponse;

use bytes::BytesMut;

/// Appends a response to `output`. `closes` announces that the connection is closed after it;
/// `is_head` leaves out the body, for the response to a `HEAD` request.
pub(crate) fn write_response(
    output: &mut BytesMut,
    response: &ServerResponse,
    closes: bool,
    is_head: bool,
) {
    use std::fmt::Write;
    output.reserve(response.fields.len() + response.body.len() + 128);
    let status = response.status;
    // Writing to a buffer in memory cannot fail.
    let _ = write!(output, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    output.extend_from_slice(&response.fields);
    if !is_head && !matches!(status, 204 | 304) {
        let _ = write!(output, "Content-Length: {}\r\n", response.body.len());
    }
    if closes {
        output.extend_from_slice(b"Connection: close\r\n");
    }
    output.extend_from_slice(b"\r\n");
    if !is_head {
        output.extend_from_slice(&response.body);
    }
}

const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
