//! One request and its response on a client connection.

use super::{
    body::{BodyError, BodyFraming, BodyReader},
    head::{self, HeadError, ResponseHead},
    memory_budget::MemoryShare,
};

use crate::header_scheme::HeaderScheme;

use actix_rt::net::TcpStream;
use bytes::{Buf, Bytes, BytesMut};
use lagoonshore_transport::body_memory::BodyMemory;
use std::{fmt::Display, io::ErrorKind, time::Duration};

/// Largest head of a response, in bytes.
const RESPONSE_HEAD_BYTES_MAX: usize = 64 * 1024;
/// Largest body of a response, in bytes.
const RESPONSE_BODY_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Most bytes that are received in one exchange, skipped responses included.
const RECEIVED_BYTES_MAX: usize = 2 * RESPONSE_BODY_BYTES_MAX;
/// Most interim responses before a response.
const INTERIM_RESPONSES_MAX: u32 = 64;
/// Most responses to earlier requests that are skipped in one exchange.
const SKIPPED_RESPONSES_MAX: u32 = 64;
/// Bytes reserved for one read.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Reads after which other tasks get their turn.
const READS_PER_TURN: u32 = 16;

/// `SentRequest` is a serialized request to an HTTP server.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Head, including the empty line at its end.
    pub head: Bytes,
    /// Body, as framed by the head.
    pub body: Bytes,
    /// Id that the response must echo; `None` if the server does not echo ids.
    pub id: Option<compact_str::CompactString>,
    /// Whether this is a `HEAD` request, whose response has no body whatever its framing says.
    pub is_head: bool,
}

impl SentRequest {
    /// Creates a `GET` request for `target` at `host`.
    #[must_use]
    pub fn get(host: impl Display, target: &str) -> Self {
        let head = format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        Self {
            head: Bytes::from(head),
            body: Bytes::new(),
            id: None,
            is_head: false,
        }
    }
}

/// `ReceivedResponse` is a response that was received completely.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// Head of the response.
    pub head: ResponseHead,
    /// Body without transfer coding.
    pub body: Bytes,
    /// Time for which the server keeps the idle connection open; `None` if it cannot be reused.
    pub keep_alive: Option<Duration>,
}

/// `ExchangeError` is the reason why no complete response was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// Reading or writing failed.
    Broken(ErrorKind),
    /// The connection was closed before the first byte of the response.
    ClosedEarly,
    /// The connection was closed within the response.
    CutOff,
    /// The bytes received are no valid response to the request.
    NoAnswer,
}

/// Keep-alive time of a server that sends no `Keep-Alive` field.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(5);

/// Sends `request` on `stream` and reads its response. Writing continues while an early response
/// is read. Responses that echo another id belong to an earlier request and are skipped. `memory` is
/// the empty share of the response in the memory of messages; its body holds its part for as long as it is in use.
///
/// # Errors
/// [`ExchangeError`] if there is no complete response; the connection must not be reused then.
pub async fn run(
    stream: &TcpStream,
    request: SentRequest,
    scheme: &HeaderScheme,
    memory: MemoryShare,
) -> Result<ReceivedResponse, ExchangeError> {
    let mut unsent = request.head.clone().chain(request.body.clone());
    let mut reader = ResponseReader::new(&request, scheme, memory);
    loop {
        if unsent.has_remaining() {
            write_some(stream, &mut unsent)?;
        }
        let mut is_writable = false;
        if unsent.has_remaining() {
            tokio::select! {
                ready = stream.readable() => ready.map_err(broken_error)?,
                ready = stream.writable() => { ready.map_err(broken_error)?; is_writable = true; }
            }
        } else {
            stream.readable().await.map_err(broken_error)?;
        }
        if is_writable {
            continue;
        }
        match reader.read(stream)? {
            ReadProgress::Complete => {
                let is_whole_request = !unsent.has_remaining();
                return Ok(reader.finish(is_whole_request));
            }
            ReadProgress::Blocked => {}
            ReadProgress::Interrupted => tokio::task::yield_now().await,
        }
    }
}

fn write_some(stream: &TcpStream, unsent: &mut impl Buf) -> Result<(), ExchangeError> {
    while unsent.has_remaining() {
        let mut parts = [std::io::IoSlice::new(&[]); 2];
        let filled = unsent.chunks_vectored(&mut parts);
        match stream.try_write_vectored(&parts[..filled]) {
            Ok(written) => unsent.advance(written),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(broken_error(error)),
        }
    }
    Ok(())
}

#[allow(clippy::needless_pass_by_value)]
fn broken_error(error: std::io::Error) -> ExchangeError {
    ExchangeError::Broken(error.kind())
}

/// How far a read of available input got.
enum ReadProgress {
    /// The response is complete.
    Complete,
    /// More input has to arrive.
    Blocked,
    /// There is more input, and other tasks should run first.
    Interrupted,
}

/// Reads the response to one request.
struct ResponseReader<'a> {
    request: &'a SentRequest,
    scheme: &'a HeaderScheme,
    buffer: BytesMut,
    current: Option<(ResponseHead, BodyReader)>,
    skipped: u32,
    interim_left: u32,
    received_bytes: usize,
    memory: MemoryShare,
}

impl<'a> ResponseReader<'a> {
    fn new(request: &'a SentRequest, scheme: &'a HeaderScheme, memory: MemoryShare) -> Self {
        Self {
            request,
            scheme,
            buffer: BytesMut::new(),
            current: None,
            skipped: 0,
            interim_left: INTERIM_RESPONSES_MAX,
            received_bytes: 0,
            memory,
        }
    }

    /// Reads available input.
    fn read(&mut self, stream: &TcpStream) -> Result<ReadProgress, ExchangeError> {
        for _ in 0..READS_PER_TURN {
            self.buffer.reserve(READ_CHUNK_BYTES);
            match stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return self.handle_eof(),
                Ok(read) => self.count_received(read)?,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Ok(ReadProgress::Blocked);
                }
                Err(error) => return Err(broken_error(error)),
            }
            if self.parse()? {
                return Ok(ReadProgress::Complete);
            }
        }
        Ok(ReadProgress::Interrupted)
    }

    fn count_received(&mut self, read: usize) -> Result<(), ExchangeError> {
        self.received_bytes += read;
        if self.received_bytes > RECEIVED_BYTES_MAX {
            return Err(ExchangeError::NoAnswer);
        }
        Ok(())
    }

    fn handle_eof(&self) -> Result<ReadProgress, ExchangeError> {
        match &self.current {
            Some((_, body)) if body.ends_with_connection() => Ok(ReadProgress::Complete),
            None if self.buffer.is_empty() => Err(ExchangeError::ClosedEarly),
            _ => Err(ExchangeError::CutOff),
        }
    }

    fn parse(&mut self) -> Result<bool, ExchangeError> {
        loop {
            if self.current.is_none() && !self.parse_head()? {
                return Ok(false);
            }
            let Some((head, body)) = &mut self.current else {
                return Ok(false);
            };
            let is_whole = body
                .read_from(&mut self.buffer)
                .map_err(|_: BodyError| ExchangeError::NoAnswer)?;
            if !is_whole {
                return Ok(false);
            }
            if is_response_to(self.request, head) {
                return Ok(true);
            }
            self.current = None;
            self.skipped += 1;
            if self.skipped > SKIPPED_RESPONSES_MAX {
                return Err(ExchangeError::NoAnswer);
            }
        }
    }

    fn parse_head(&mut self) -> Result<bool, ExchangeError> {
        let is_head = self.request.is_head;
        let parsed = head::parse_response(
            &mut self.buffer,
            RESPONSE_HEAD_BYTES_MAX,
            is_head,
            &mut self.interim_left,
            self.scheme,
        );
        let Some(head) = parsed.map_err(|_: HeadError| ExchangeError::NoAnswer)? else {
            return Ok(false);
        };
        if head.framing == BodyFraming::UntilClose && !is_response_to(self.request, &head) {
            return Err(ExchangeError::NoAnswer);
        }
        let body = BodyReader::new(head.framing, RESPONSE_BODY_BYTES_MAX);
        let body =
            body.and_then(|body| body.with_memory(BodyMemory::counted(self.memory.another())));
        let body = body.map_err(|_: BodyError| ExchangeError::NoAnswer)?;
        self.current = Some((head, body));
        Ok(true)
    }

    fn finish(self, is_whole_request: bool) -> ReceivedResponse {
        let is_clean = self.buffer.is_empty() && is_whole_request && self.skipped == 0;
        let (head, body) = self.current.map_or_else(
            || unreachable!("a response is finished only after its head was read"),
            |(head, body)| (head, body.finish()),
        );
        let is_reusable = is_clean && !head.closes;
        let keep_alive = is_reusable.then(|| head.keep_alive.unwrap_or(KEEP_ALIVE_DEFAULT));
        ReceivedResponse {
            head,
            body,
            keep_alive,
        }
    }
}

/// Returns whether a response belongs to the request. A response without an id does not belong to a
/// request with one, not even a rejection by a server that could not read the id to echo it.
fn is_response_to(request: &SentRequest, head: &ResponseHead) -> bool {
    match (&request.id, &head.id) {
        (None, _) => true,
        (Some(sent), Some(echoed)) => sent == echoed,
        (Some(_), None) => false,
    }
}
