//! One connection of a door: takes requests off it, has them handled at the same time, and writes the
//! answers in the order of the requests (RFC 9112, section 9.3.2).

use super::{
    body::{BodyError, BodyFraming, BodyReader},
    head::{self, HeadError, RequestHead},
    response_writer::write_response,
    server::{CallerHandler, ServerPhase, ServerRequest, ServerResponse},
};

use crate::header_scheme::HeaderScheme;

use actix_rt::net::TcpStream;
use bytes::BytesMut;
use std::{collections::VecDeque, io::ErrorKind, rc::Rc, time::Duration};
use tokio::{sync::watch, task::JoinHandle, time::Instant};

/// Requests of one connection that are handled at the same time.
const PIPELINE_MAX: usize = 32;
/// Bytes that are read ahead of the requests being handled.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;
/// Unwritten bytes of answers above which no further answer is taken up.
const WRITE_AHEAD_BYTES: usize = 256 * 1024;
/// Time for which a connection that was closed is still read, so that the last answer is not
/// lost to a reset.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Idle time after which a door that closes idle connections closes one. A caller that has just
/// connected is about to send a request.
const UNWANTED_TIME: Duration = Duration::from_millis(250);
/// Time for which a caller may leave its answer unread.
const WRITE_TIME: Duration = Duration::from_secs(20);

/// A request whose answer is being made; dropping it cancels that.
struct PendingAnswer {
    task: JoinHandle<ServerResponse>,
    closes: bool,
    is_head: bool,
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A request of which the body is not whole yet.
struct PartialRequest {
    head: RequestHead,
    body: BodyReader,
    received: Instant,
}

/// What a connection waits for.
enum DoorEvent {
    Readable,
    Writable,
    Answered(Result<ServerResponse, tokio::task::JoinError>),
    TimedOut,
    PhaseChanged,
}

/// `ServerConnection` serves one connection of a door.
pub(crate) struct ServerConnection<H: CallerHandler> {
    stream: TcpStream,
    handler: Rc<H>,
    scheme: HeaderScheme,
    input: BytesMut,
    output: BytesMut,
    partial: Option<PartialRequest>,
    pending: VecDeque<PendingAnswer>,
    head_since: Option<Instant>,
    idle_since: Instant,
    takes_no_more: bool,
    phase: watch::Receiver<ServerPhase>,
}

impl<H: CallerHandler> ServerConnection<H> {
    pub(crate) fn new(stream: TcpStream, handler: Rc<H>, scheme: HeaderScheme) -> Self {
        // Without the option, answers only come a little later.
        let _ = stream.set_nodelay(true);
        let phase = handler.phase();
        Self {
            stream,
            handler,
            scheme,
            input: BytesMut::new(),
            output: BytesMut::new(),
            partial: None,
            pending: VecDeque::new(),
            head_since: None,
            idle_since: Instant::now(),
            takes_no_more: false,
            phase,
        }
    }

    /// Serves the connection until it ends.
    pub(crate) async fn serve(mut self) {
        loop {
            if !self.take_requests() || !self.write_some() {
                return;
            }
            let is_done = self.pending.is_empty() && self.output.is_empty();
            if is_done && (self.takes_no_more || self.is_idle_and_unwanted()) {
                self.linger().await;
                return;
            }
            match self.next_event().await {
                DoorEvent::Readable => {
                    if !self.read_some() {
                        return;
                    }
                }
                DoorEvent::Writable | DoorEvent::PhaseChanged => {}
                DoorEvent::Answered(answer) => self.take_answer(answer),
                DoorEvent::TimedOut => {
                    if !self.time_out() {
                        return;
                    }
                }
            }
        }
    }

    async fn next_event(&mut self) -> DoorEvent {
        let wakes_at = self.wakes_at();
        let Self {
            stream,
            pending,
            output,
            input,
            phase,
            ..
        } = self;
        let may_read = input.len() < READ_AHEAD_BYTES || self.partial.is_some();
        let may_answer = output.len() < WRITE_AHEAD_BYTES;
        let front = async {
            match pending.front_mut() {
                Some(pending) if may_answer => (&mut pending.task).await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            answer = front => DoorEvent::Answered(answer),
            // A fault of the socket shows in the read or write that follows.
            _ = stream.readable(), if may_read => DoorEvent::Readable,
            _ = stream.writable(), if !output.is_empty() => DoorEvent::Writable,
            Ok(()) = phase.changed() => DoorEvent::PhaseChanged,
            () = tokio::time::sleep_until(wakes_at) => DoorEvent::TimedOut,
        }
    }

    /// Time at which the connection is looked at again, whatever happens.
    fn wakes_at(&self) -> Instant {
        let limits = self.handler.limits();
        if let Some(since) = self.head_since {
            return since + limits.head_time;
        }
        if !self.output.is_empty() {
            return self.idle_since + WRITE_TIME;
        }
        if !self.pending.is_empty() {
            return Instant::now() + limits.idle_time;
        }
        if self.closes_idle() {
            return self.idle_since + UNWANTED_TIME;
        }
        self.idle_since + limits.idle_time
    }

    /// `false` ends the connection.
    fn time_out(&mut self) -> bool {
        if Instant::now() < self.wakes_at() || self.is_idle_and_unwanted() {
            return true;
        }
        if self.head_since.is_some() {
            self.refuse(408);
            return true;
        }
        self.output.is_empty() && !self.pending.is_empty()
    }

    fn is_idle_and_unwanted(&self) -> bool {
        let is_idle = self.input.is_empty() && self.partial.is_none();
        is_idle && self.closes_idle() && self.idle_since.elapsed() >= UNWANTED_TIME
    }

    fn closes_idle(&self) -> bool {
        *self.phase.borrow() >= ServerPhase::ClosingIdle
    }

    fn is_closing(&self) -> bool {
        *self.phase.borrow() >= ServerPhase::Closing
    }

    /// Takes all whole requests out of the input; `false` ends the connection.
    fn take_requests(&mut self) -> bool {
        while !self.takes_no_more && self.pending.len() < PIPELINE_MAX {
            if self.partial.is_none() && !self.take_head() {
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
                        self.head_since = Some(self.idle_since);
                    }
                    break;
                }
                Err(fault) => self.refuse(body_status(fault)),
            }
        }
        true
    }

    /// Takes a head out of the input; `false` if there is none.
    fn take_head(&mut self) -> bool {
        while self.input.starts_with(b"\r\n") {
            let _ = self.input.split_to(2);
        }
        if self.input.is_empty() {
            return false;
        }
        let received = *self.head_since.get_or_insert_with(Instant::now);
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
            self.output
                .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        match BodyReader::new(head.framing, limits.body_bytes) {
            Ok(body) => {
                self.partial = Some(PartialRequest {
                    head,
                    body,
                    received,
                });
                true
            }
            Err(fault) => {
                self.refuse(body_status(fault));
                false
            }
        }
    }

    fn start_request(&mut self) {
        let Some(partial) = self.partial.take() else {
            return;
        };
        self.head_since = None;
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
        let answer = Rc::clone(&self.handler).answer(request);
        self.pending.push_back(PendingAnswer {
            task: actix_rt::spawn(answer),
            closes,
            is_head,
        });
        // Requests behind one that ends the connection are left unread: their callers send them
        // again.
        self.takes_no_more = closes || self.is_closing();
    }

    /// Answers bytes that are no request; nothing after them can be read.
    fn refuse(&mut self, status: u16) {
        let answer = self.handler.reject(status);
        self.head_since = None;
        self.partial = None;
        self.input.clear();
        self.takes_no_more = true;
        self.pending.push_back(PendingAnswer {
            task: actix_rt::spawn(std::future::ready(answer)),
            closes: true,
            is_head: false,
        });
    }

    fn take_answer(&mut self, answer: Result<ServerResponse, tokio::task::JoinError>) {
        let Some(pending) = self.pending.pop_front() else {
            return;
        };
        let answer = answer.unwrap_or_else(|_| self.handler.reject(502));
        let is_last = self.pending.is_empty();
        let closes = pending.closes || (is_last && self.is_closing());
        self.takes_no_more |= closes;
        write_response(&mut self.output, &answer, closes, pending.is_head);
        self.idle_since = Instant::now();
    }

    /// `false` if the caller left.
    fn read_some(&mut self) -> bool {
        self.input.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => false,
            Ok(_) => {
                self.idle_since = Instant::now();
                true
            }
            Err(fault) => fault.kind() == ErrorKind::WouldBlock,
        }
    }

    /// `false` if the caller left.
    fn write_some(&mut self) -> bool {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(written) => {
                    let _ = self.output.split_to(written);
                    self.idle_since = Instant::now();
                }
                Err(fault) => return fault.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }

    /// Closes the side for writing and reads what the caller still sends.
    async fn linger(mut self) {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let mut waste = [0; 1024];
        let reading = async {
            while self
                .stream
                .read(&mut waste)
                .await
                .is_ok_and(|read| read > 0)
            {}
        };
        // Whether the caller closes in time changes nothing.
        let _ = actix_rt::time::timeout(LINGER_TIME, reading).await;
    }
}

const fn body_status(fault: BodyError) -> u16 {
    match fault {
        BodyError::TooLarge => 413,
        BodyError::Malformed => 400,
    }
}
