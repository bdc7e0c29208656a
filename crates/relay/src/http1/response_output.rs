//! Responses that wait to be written to a caller.

use super::request_handler::ServerResponse;

use actix_rt::net::TcpStream;
use bytes::BytesMut;
use lagoonshore_transport::write_queue::{WRITE_SLICES_MAX, WriteQueue};
use std::{
    fmt::Write,
    io::{ErrorKind, IoSlice, Result},
};

/// Unwritten bytes above which no further response is added.
const WRITE_AHEAD_BYTES: usize = 256 * 1024;
/// Buffer capacity for the lines that are added to the fields of a response, in bytes.
const ADDED_LINES_BYTES: usize = 128;

/// `ResponseOutput` holds the unwritten responses of one connection. Bodies are not copied.
#[derive(Debug, Default)]
pub(crate) struct ResponseOutput {
    unwritten: WriteQueue,
}

impl ResponseOutput {
    /// Returns whether everything is written.
    pub(crate) const fn is_empty(&self) -> bool {
        self.unwritten.is_empty()
    }

    /// Number of bytes that wait to be written.
    pub(crate) const fn len(&self) -> usize {
        self.unwritten.len()
    }

    /// Returns whether another response may be added.
    pub(crate) const fn is_accepting(&self) -> bool {
        self.unwritten.len() < WRITE_AHEAD_BYTES
    }

    /// Adds the interim response by which the caller is asked to send the body.
    pub(crate) fn push_continue(&mut self) {
        self.unwritten
            .push(bytes::Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"));
    }

    /// Adds a response. `closes` announces that the connection is closed after it; `is_head` leaves out
    /// the body, for the response to a `HEAD` request.
    pub(crate) fn push(&mut self, response: ServerResponse, closes: bool, is_head: bool) {
        let mut head = BytesMut::with_capacity(response.fields.len() + ADDED_LINES_BYTES);
        let status = response.status;
        // Writing to a buffer in memory cannot fail.
        let _ = write!(head, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        head.extend_from_slice(&response.fields);
        if !is_head && !matches!(status, 204 | 304) {
            let _ = write!(head, "Content-Length: {}\r\n", response.body.len());
        }
        if closes {
            head.extend_from_slice(b"Connection: close\r\n");
        }
        head.extend_from_slice(b"\r\n");
        self.unwritten.push(head.freeze());
        if !is_head {
            self.unwritten.push(response.body);
        }
    }

    /// Writes as much as the socket takes; returns the number of bytes.
    ///
    /// # Errors
    /// Any error of the socket, but for one that is full.
    pub(crate) fn write_to(&mut self, stream: &TcpStream) -> Result<usize> {
        let before = self.unwritten.len();
        while !self.unwritten.is_empty() {
            let mut slices = [IoSlice::new(&[]); WRITE_SLICES_MAX];
            let filled = self.unwritten.fill(&mut slices);
            match stream.try_write_vectored(&slices[..filled]) {
                Ok(written) => self.unwritten.advance(written),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(before - self.unwritten.len())
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
