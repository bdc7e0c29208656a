//! One connection of a server: reads requests, handles pipelined ones concurrently, and writes
//! the responses in the order of the requests (RFC 9112, section 9.3.2).

use super::{
    body::{BodyError, BodyFraming, BodyReader},
    head::{self, HeadError, RequestHead},
    request_handler::{RequestHandler, ServerPhase, ServerRequest, ServerResponse},
    response_output::ResponseOutput,
    staged_close,
};

use crate::header_scheme::HeaderScheme;

use actix_rt::net::TcpStream;
use bytes::BytesMut;
use lagoonshore_transport::memory_budget::{MemoryBudget, MemoryShare};
use std::{collections::VecDeque, io::ErrorKind, rc::Rc, time::Duration};
use tokio::{sync::watch, task::JoinHandle, time::Instant};

/// Most requests of one connection that are handled concurrently.
const PIPELINED_REQUESTS_MAX: usize = 32;
/// Unparsed input, in bytes, above which reading pauses until responses are written. It does not
/// pause within a body.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Bytes reserved for one read.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// Longest time for which input is discarded after the write side was closed.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// The same for a request whose body was not read: its caller may read the response only after it has
/// sent the body.
const BODY_DISCARD_TIME: Duration = Duration::from_secs(5);
/// Idle time after which a connection is closed in [`ServerPhase::ClosingIdle`]. It is not zero
/// because a caller that has just connected is about to send a request.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without progress after which writing a response to a caller is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// A request that is being handled; dropping it cancels the handler.
struct PendingResponse {
    task: JoinHandle<ServerResponse>,
    closes: bool,
    is_head: bool,
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A request whose body is incomplete.
struct PartialRequest {
    head: RequestHead,
    body: BodyReader,
    received: Instant,
}

/// The event that a connection handles next.
enum ConnectionEvent {
    Readable,
    Writable,
    Answered(Result<ServerResponse, tokio::task::JoinError>),
    TimedOut,
    PhaseChanged,
}

/// `ServerConnection` serves one connection of a caller.
pub(crate) struct ServerConnection<H: RequestHandler> {
    stream: TcpStream,
    handler: Rc<H>,
    scheme: HeaderScheme,
    input: BytesMut,
    output: ResponseOutput,
    partial: Option<PartialRequest>,
    pending: VecDeque<PendingResponse>,
    /// Start of the head being received, or the last progress of its body; `None` between requests.
    receiving_since: Option<Instant>,
    idle_since: Instant,
    is_input_closed: bool,
    discard_time: Duration,
    /// Memory of the unparsed input.
    input_memory: MemoryShare,
    budget: MemoryBudget,
    phase: watch::Receiver<ServerPhase>,
}

impl<H: RequestHandler> ServerConnection<H> {
    /// Creates a connection whose requests share the memory of `budget`.
    pub(crate) fn new(
        stream: TcpStream,
        handler: Rc<H>,
        scheme: HeaderScheme,
        budget: MemoryBudget,
    ) -> Self {
        // If the option cannot be set, responses are only delayed.
        let _ = stream.set_nodelay(true);
        let phase = handler.phase();
        Self {
            stream,
            handler,
            scheme,
            input: BytesMut::new(),
            output: ResponseOutput::default(),
            partial: None,
            pending: VecDeque::new(),
            receiving_since: None,
            idle_since: Instant::now(),
            is_input_closed: false,
            discard_time: DISCARD_TIME,
            input_memory: budget.request_share(),
            budget,
            phase,
        }
    }

    /// Serves the connection until it is closed.
    pub(crate) async fn serve(mut self) {
        loop {
            if !self.parse_requests() || !self.write_some() {
                return;
            }
            let is_done = self.pending.is_empty() && self.output.is_empty();
            if is_done && (self.is_input_closed || self.is_idle_expired()) {
                staged_close::close(self.stream, self.discard_time).await;
                return;
            }
            match self.next_event().await {
                ConnectionEvent::Readable => {
                    if !self.read_some() {
                        return;
                    }
                }
                ConnectionEvent::Writable | ConnectionEvent::PhaseChanged => {}
                ConnectionEvent::Answered(response) => self.write_next_response(response),
                ConnectionEvent::TimedOut => {
                    if !self.handle_timeout() {
                        return;
                    }
                }
            }
        }
    }

    async fn next_event(&mut self) -> ConnectionEvent {
        let next_timeout = self.next_timeout();
        let Self {
            stream,
            pending,
            output,
            input,
            phase,
            ..
        } = self;
        let can_read = input.len() < READ_AHEAD_BYTES || self.partial.is_some();
        let can_respond = output.is_accepting();
        let next_response = async {
            match pending.front_mut() {
                Some(pending) if can_respond => (&mut pending.task).await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            response = next_response => ConnectionEvent::Answered(response),
            // An error of the socket is returned by the read or write that follows.
            _ = stream.readable(), if can_read => ConnectionEvent::Readable,
            _ = stream.writable(), if !output.is_empty() => ConnectionEvent::Writable,
            Ok(()) = phase.changed() => ConnectionEvent::PhaseChanged,
            () = tokio::time::sleep_until(next_timeout) => ConnectionEvent::TimedOut,
        }
    }

    /// Returns the time at which the connection is checked for a timeout.
    fn next_timeout(&self) -> Instant {
        let limits = self.handler.limits();
        if let Some(since) = self.receiving_since {
            return since + limits.head_time;
        }
        if !self.output.is_empty() {
            return self.idle_since + WRITE_TIMEOUT;
        }
        if !self.pending.is_empty() {
            return Instant::now() + limits.idle_time;
        }
        if self.is_closing_idle() {
            return self.idle_since + CLOSING_IDLE_TIMEOUT;
        }
        self.idle_since + limits.idle_time
    }

    /// Handles the timeout of a request being received, a write or an idle connection; `false`
    /// closes the connection.
    fn handle_timeout(&mut self) -> bool {
        if Instant::now() < self.next_timeout() || self.is_idle_expired() {
            return true;
        }
        if self.receiving_since.is_some() {
            self.refuse(408);
            return true;
        }
        self.output.is_empty() && !self.pending.is_empty()
    }

    fn is_idle_expired(&self) -> bool {
        let is_idle = self.input.is_empty() && self.partial.is_none();
        is_idle && self.is_closing_idle() && self.idle_since.elapsed() >= CLOSING_IDLE_TIMEOUT
    }

    fn is_closing_idle(&self) -> bool {
        *self.phase.borrow() >= ServerPhase::ClosingIdle
    }

    fn is_closing(&self) -> bool {
        *self.phase.borrow() >= ServerPhase::Closing
    }

    /// Parses the complete requests in the input and starts them; `false` closes the connection.
    fn parse_requests(&mut self) -> bool {
        while !self.is_input_closed && self.pending.len() < PIPELINED_REQUESTS_MAX {
            if self.partial.is_none() && !self.parse_head() {
                break;
            }
            let Some(partial) = &mut self.partial else {
                break;
            };
            let before = partial.body.len();
            match partial.body.read_from(&mut self.input) {
                Ok(true) => self.start_request(),
                Ok(false) => {
                    if partial.body.len() > before {
                        self.idle_since = Instant::now();
                        self.receiving_since = Some(self.idle_since);
                    }
                    break;
                }
                Err(error) => self.refuse_body(error),
            }
        }
        self.input_memory.reduce_to(self.input.len());
        true
    }

    /// Parses a head from the input; `false` if none is complete or valid.
    fn parse_head(&mut self) -> bool {
        while self.input.starts_with(b"\r\n") {
            let _ = self.input.split_to(2);
        }
        if self.input.is_empty() {
            return false;
        }
        let received = *self.receiving_since.get_or_insert_with(Instant::now);
        let limits = self.handler.limits();
        let head = match head::parse_request(&mut self.input, limits.head_bytes, &self.scheme) {
            Ok(Some(head)) => head,
            Ok(None) => return false,
            Err(HeadError::TooLarge) => {
                self.refuse(431);
                return false;
            }
            Err(HeadError::Malformed) => {
                self.refuse(400);
                return false;
            }
        };
        if head.expects_continue && head.framing != BodyFraming::Length(0) {
            self.output.push_continue();
        }
        let body = BodyReader::new(head.framing, limits.body_bytes);
        let body = body.and_then(|body| body.with_memory(self.budget.request_share()));
        match body {
            Ok(body) => {
                self.partial = Some(PartialRequest {
                    head,
                    body,
                    received,
                });
                true
            }
            Err(error) => {
                self.refuse_request(body_status(error), &head.id.unwrap_or_default());
                false
            }
        }
    }

    fn start_request(&mut self) {
        let Some(partial) = self.partial.take() else {
            return;
        };
        self.receiving_since = None;
        let PartialRequest {
            head,
            body,
            received,
        } = partial;
        let closes = head.closes;
        let is_head = head.method == "HEAD";
        let request = ServerRequest {
            head,
            body: body.finish(),
            received,
        };
        let response = Rc::clone(&self.handler).respond(request);
        self.pending.push_back(PendingResponse {
            task: actix_rt::spawn(response),
            closes,
            is_head,
        });
        // Requests pipelined after the last one of the connection are not read; their callers
        // retry them.
        self.is_input_closed = closes || self.is_closing();
    }

    /// Refuses the request whose body cannot be read.
    fn refuse_body(&mut self, error: BodyError) {
        let head = self.partial.take().map(|partial| partial.head);
        let id = head.and_then(|head| head.id);
        self.refuse_request(body_status(error), &id.unwrap_or_default());
    }

    /// Answers unparsable input with `status`.
    fn refuse(&mut self, status: u16) {
        self.refuse_request(status, "");
    }

    /// Answers the request `id`, which was not read, with `status` and stops reading, since the start of
    /// a following request cannot be found.
    fn refuse_request(&mut self, status: u16, id: &str) {
        let response = self.handler.reject(status, id);
        if !id.is_empty() {
            self.discard_time = BODY_DISCARD_TIME;
        }
        self.receiving_since = None;
        self.partial = None;
        self.input.clear();
        self.is_input_closed = true;
        self.pending.push_back(PendingResponse {
            task: actix_rt::spawn(std::future::ready(response)),
            closes: true,
            is_head: false,
        });
    }

    fn write_next_response(&mut self, response: Result<ServerResponse, tokio::task::JoinError>) {
        let Some(pending) = self.pending.pop_front() else {
            return;
        };
        let response = response.unwrap_or_else(|_| self.handler.reject(502, ""));
        let is_last = self.pending.is_empty();
        let closes = pending.closes || (is_last && self.is_closing());
        self.is_input_closed |= closes;
        self.output.push(response, closes, pending.is_head);
        self.idle_since = Instant::now();
    }

    /// Reads available input; `false` if the caller disconnected.
    fn read_some(&mut self) -> bool {
        self.input.reserve(READ_CHUNK_BYTES);
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => false,
            Ok(_) => {
                self.idle_since = Instant::now();
                if !self.input_memory.extend_to(self.input.len()) {
                    self.refuse(503);
                }
                true
            }
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Writes as much output as the socket takes; `false` if the caller disconnected.
    fn write_some(&mut self) -> bool {
        match self.output.write_to(&self.stream) {
            Ok(is_written) => {
                if is_written {
                    self.idle_since = Instant::now();
                }
                true
            }
            Err(_) => false,
        }
    }
}

const fn body_status(error: BodyError) -> u16 {
    match error {
        BodyError::TooLarge => 413,
        BodyError::Malformed => 400,
        BodyError::NoMemory => 503,
    }
}
