//! One request and its answer on a connection to an upstream.

use super::{
    body::{BodyError, BodyFraming, BodyReader},
    head::{self, HeadError, ResponseHead},
};

use crate::header_scheme::HeaderScheme;

use actix_rt::net::TcpStream;
use bytes::{Buf, Bytes, BytesMut};
use std::{fmt::Display, io::ErrorKind, time::Duration};

/// Largest head of an answer, in bytes.
const HEAD_BYTES_MAX: usize = 64 * 1024;
/// Largest body of an answer, in bytes.
const BODY_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// `SentRequest` is a request as it goes to an upstream.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Head, with its last empty line.
    pub head: Bytes,
    /// Body.
    pub body: Bytes,
    /// Id that the answer echoes; none where the other side does not echo ids.
    pub id: Option<compact_str::CompactString>,
    /// Whether the answer has no body whatever its head says.
    pub is_head: bool,
}

impl SentRequest {
    /// A request without a body for `target` at `host`.
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

/// `ReceivedResponse` is an answer that came to its proper end.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// Head.
    pub head: ResponseHead,
    /// Body.
    pub body: Bytes,
    /// Time for which the connection may be kept; `None` if it is at its end.
    pub keep_alive: Option<Duration>,
}

/// `ExchangeError` says why there is no whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection broke.
    Broken(ErrorKind),
    /// The connection ended before the answer began.
    ClosedEarly,
    /// The answer was cut off.
    CutOff,
    /// What came is no answer to the request.
    NoAnswer,
}

/// Time for which an idle connection is kept where the upstream does not say.
const KEEP_TIME: Duration = Duration::from_secs(5);

/// Sends `request` on `stream` and reads its answer. Writing goes on while an early answer is
/// read. Answers that echo another id belong to an earlier request and are passed over.
///
/// # Errors
/// Why there is no whole answer; the connection is of no use then.
pub async fn run(
    stream: &TcpStream,
    request: SentRequest,
    scheme: &HeaderScheme,
) -> Result<ReceivedResponse, ExchangeError> {
    let mut out = request.head.clone().chain(request.body.clone());
    let mut reading = AnswerReader::new(&request, scheme);
    loop {
        if out.has_remaining() {
            write_some(stream, &mut out)?;
        }
        let mut has_room = false;
        if out.has_remaining() {
            tokio::select! {
                ready = stream.readable() => ready.map_err(broken)?,
                ready = stream.writable() => { ready.map_err(broken)?; has_room = true; }
            }
        } else {
            stream.readable().await.map_err(broken)?;
        }
        if has_room {
            continue;
        }
        if reading.read(stream)? {
            let is_whole_request = !out.has_remaining();
            return Ok(reading.finish(is_whole_request));
        }
    }
}

fn write_some(stream: &TcpStream, out: &mut impl Buf) -> Result<(), ExchangeError> {
    while out.has_remaining() {
        let mut parts = [std::io::IoSlice::new(&[]); 2];
        let filled = out.chunks_vectored(&mut parts);
        match stream.try_write_vectored(&parts[..filled]) {
            Ok(written) => out.advance(written),
            Err(fault) if fault.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(fault) => return Err(broken(fault)),
        }
    }
    Ok(())
}

#[allow(clippy::needless_pass_by_value)]
fn broken(fault: std::io::Error) -> ExchangeError {
    ExchangeError::Broken(fault.kind())
}

/// Reads the answer to one request.
struct AnswerReader<'a> {
    request: &'a SentRequest,
    scheme: &'a HeaderScheme,
    buffer: BytesMut,
    started: Option<(ResponseHead, BodyReader)>,
    passed_over: bool,
}

impl<'a> AnswerReader<'a> {
    fn new(request: &'a SentRequest, scheme: &'a HeaderScheme) -> Self {
        Self {
            request,
            scheme,
            buffer: BytesMut::new(),
            started: None,
            passed_over: false,
        }
    }

    /// Reads what has arrived; `true` once the answer is whole.
    fn read(&mut self, stream: &TcpStream) -> Result<bool, ExchangeError> {
        loop {
            self.buffer.reserve(READ_BYTES);
            match stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return self.end(),
                Ok(_) if self.parse()? => return Ok(true),
                Ok(_) => {}
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(fault) => return Err(broken(fault)),
            }
        }
    }

    fn end(&self) -> Result<bool, ExchangeError> {
        match &self.started {
            Some((_, body)) if body.ends_with_connection() => Ok(true),
            None if self.buffer.is_empty() => Err(ExchangeError::ClosedEarly),
            _ => Err(ExchangeError::CutOff),
        }
    }

    fn parse(&mut self) -> Result<bool, ExchangeError> {
        loop {
            if self.started.is_none() && !self.begin()? {
                return Ok(false);
            }
            let Some((head, body)) = &mut self.started else {
                return Ok(false);
            };
            let is_whole = body
                .read_from(&mut self.buffer)
                .map_err(|_: BodyError| ExchangeError::NoAnswer)?;
            if !is_whole {
                return Ok(false);
            }
            if is_echo(self.request, head) {
                return Ok(true);
            }
            self.started = None;
            self.passed_over = true;
        }
    }

    fn begin(&mut self) -> Result<bool, ExchangeError> {
        let is_head = self.request.is_head;
        let taken = head::parse_response(&mut self.buffer, HEAD_BYTES_MAX, is_head, self.scheme);
        let Some(head) = taken.map_err(|_: HeadError| ExchangeError::NoAnswer)? else {
            return Ok(false);
        };
        if head.framing == BodyFraming::UntilClose && !is_echo(self.request, &head) {
            return Err(ExchangeError::NoAnswer);
        }
        let body = BodyReader::new(head.framing, BODY_BYTES_MAX);
        let body = body.map_err(|_| ExchangeError::NoAnswer)?;
        self.started = Some((head, body));
        Ok(true)
    }

    fn finish(self, is_whole_request: bool) -> ReceivedResponse {
        let is_clean = self.buffer.is_empty() && is_whole_request && !self.passed_over;
        let (head, body) = self.started.map_or_else(
            || unreachable!("an answer is finished only after its head was read"),
            |(head, body)| (head, body.finish()),
        );
        let is_kept = is_clean && !head.closes;
        let keep_alive = is_kept.then(|| head.keep_alive.unwrap_or(KEEP_TIME));
        ReceivedResponse {
            head,
            body,
            keep_alive,
        }
    }
}

/// Tells whether an answer belongs to the request. A refusal of a message without a readable id
/// cannot echo it.
fn is_echo(request: &SentRequest, head: &ResponseHead) -> bool {
    match (&request.id, &head.id) {
        (None, _) => true,
        (Some(sent), Some(echoed)) => sent == echoed,
        (Some(_), None) => false,
    }
}
