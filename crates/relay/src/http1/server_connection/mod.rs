//! One connection of a server: reads requests, handles pipelined ones concurrently, and writes
//! the responses in the order of the requests (RFC 9112, section 9.3.2).

mod receiving;
mod refusing;
mod writing;

use super::{
    body::BodyError,
    connection_table::{ConnectionActivity, ConnectionPlace},
    input_pool::InputPool,
    request_handler::{RequestHandler, ServerPhase, ServerResponse, UnreadReason},
    response_output::ResponseOutput,
    server::ServerLimits,
    staged_close,
};

use crate::{connection_log::ConnectionLog, header_scheme::HeaderScheme};

use actix_rt::net::TcpStream;
use bytes::BytesMut;
use lagoonshore_coordination::protection::transfer_progress::{TransferLimits, TransferProgress};
use lagoonshore_transport::memory_budget::MemoryShare;
use receiving::PartialRequest;
use std::{collections::VecDeque, rc::Rc, sync::Arc, time::Duration};
use tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
    time::Instant,
};

/// Longest time for which input is discarded after the write side was closed.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Idle time after which a connection is closed in [`ServerPhase::ClosingIdle`]. It is not zero
/// because a caller that has just connected is about to send a request.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a connection that writes is checked, since memory may become short.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

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

/// The event that a connection handles next.
enum ConnectionEvent {
    Readable,
    Writable,
    Answered(Result<ServerResponse, tokio::task::JoinError>),
    TimedOut,
    PhaseChanged,
    BodyGivenUp,
    PlaceGivenUp,
}

/// `ServerConnection` serves one connection of a caller.
pub(crate) struct ServerConnection<H: RequestHandler> {
    stream: TcpStream,
    handler: Rc<H>,
    scheme: HeaderScheme,
    input: BytesMut,
    output: ResponseOutput,
    /// Progress of the output; `None` while there is none.
    writing: Option<TransferProgress>,
    partial: Option<PartialRequest>,
    pending: VecDeque<PendingResponse>,
    /// Start of the request being received; `None` between requests.
    receiving_since: Option<Instant>,
    idle_since: Instant,
    is_input_closed: bool,
    /// Whether the connection closes after the requests in progress, since its place is needed.
    is_place_given_up: bool,
    discard_time: Duration,
    /// Input that arrived after the last request that is read.
    discarded_bytes: usize,
    reads_in_turn: u32,
    /// Memory of the unparsed input.
    input_memory: MemoryShare,
    input_pool: Rc<InputPool>,
    limits: Rc<ServerLimits>,
    place: Rc<ConnectionPlace>,
    log: Rc<ConnectionLog>,
    /// Tells that the body being received was given up for others.
    body_given_up: Arc<Notify>,
    phase: watch::Receiver<ServerPhase>,
}

/// What a connection shares with the others of its server, and its place among them.
pub(crate) struct ConnectionParts {
    pub(crate) limits: Rc<ServerLimits>,
    pub(crate) place: Rc<ConnectionPlace>,
    pub(crate) input_pool: Rc<InputPool>,
    pub(crate) log: Rc<ConnectionLog>,
}

impl<H: RequestHandler> ServerConnection<H> {
    /// Creates a connection at `place`, within the limits of its server.
    pub(crate) fn new(
        stream: TcpStream,
        handler: Rc<H>,
        scheme: HeaderScheme,
        parts: ConnectionParts,
    ) -> Self {
        let ConnectionParts {
            limits,
            place,
            input_pool,
            log,
        } = parts;
        // If the option cannot be set, responses are only delayed.
        let _ = stream.set_nodelay(true);
        let phase = handler.phase();
        Self {
            stream,
            handler,
            scheme,
            input: BytesMut::new(),
            output: ResponseOutput::default(),
            writing: None,
            partial: None,
            pending: VecDeque::new(),
            receiving_since: None,
            idle_since: Instant::now(),
            is_input_closed: false,
            is_place_given_up: false,
            discard_time: DISCARD_TIME,
            discarded_bytes: 0,
            reads_in_turn: 0,
            input_memory: receiving::request_share(&limits, &place),
            input_pool,
            limits,
            place,
            log,
            body_given_up: Arc::default(),
            phase,
        }
    }

    /// Serves the connection until it is closed.
    pub(crate) async fn serve(mut self) {
        loop {
            self.parse_requests();
            if !self.write_some() {
                return;
            }
            let is_done = self.pending.is_empty() && self.output.is_empty();
            if is_done && (self.is_input_closed || self.is_idle_expired()) {
                self.place.set(ConnectionActivity::Closing(Instant::now()));
                let Self { place, stream, .. } = self;
                tokio::select! {
                    () = staged_close::close(stream, self.discard_time) => {}
                    () = place.given_up() => {}
                }
                return;
            }
            self.place.set(self.activity());
            match self.next_event().await {
                ConnectionEvent::Readable => {
                    // Input is parsed and counted before others get their turn.
                    self.end_turn().await;
                    if !self.read_some() {
                        return;
                    }
                }
                ConnectionEvent::BodyGivenUp => self.refuse_body(BodyError::GivenUp),
                ConnectionEvent::PlaceGivenUp => {
                    if self.give_up_place() {
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
        let next_timeout = self.next_check();
        let read_ahead_max = self.read_ahead_max();
        let is_receiving = self.partial.is_some();
        let Self {
            stream,
            pending,
            output,
            input,
            phase,
            place,
            body_given_up,
            ..
        } = self;
        let ahead = input.len() + self.discarded_bytes;
        let can_read = ahead < read_ahead_max;
        let can_respond = output.is_accepting();
        let next_response = async {
            match pending.front_mut() {
                Some(pending) if can_respond => (&mut pending.task).await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = place.given_up() => ConnectionEvent::PlaceGivenUp,
            () = body_given_up.notified(), if is_receiving => ConnectionEvent::BodyGivenUp,
            response = next_response => ConnectionEvent::Answered(response),
            // An error of the socket is returned by the read or write that follows.
            _ = stream.readable(), if can_read => ConnectionEvent::Readable,
            _ = stream.writable(), if !output.is_empty() => ConnectionEvent::Writable,
            Ok(()) = phase.changed() => ConnectionEvent::PhaseChanged,
            () = tokio::time::sleep_until(next_timeout) => ConnectionEvent::TimedOut,
        }
    }

    /// Returns the time at which the connection is checked for a timeout. A response that is not read is
    /// checked more often, since memory may become short.
    fn next_check(&self) -> Instant {
        let timeout = self.next_timeout();
        if self.output.is_empty() {
            return timeout;
        }
        timeout.min(Instant::now() + WRITE_CHECK_INTERVAL)
    }

    /// Returns the time at which the connection, or a message on it, times out.
    fn next_timeout(&self) -> Instant {
        let deadlines = [self.receive_deadline(), self.write_deadline()];
        let first = deadlines.into_iter().flatten().min();
        first.unwrap_or_else(|| self.idle_deadline())
    }

    /// Time at which the request being received is given up.
    fn receive_deadline(&self) -> Option<Instant> {
        let limits = self.handler.limits();
        if let Some(partial) = &self.partial {
            return Some(partial.progress.deadline(&TransferLimits {
                stall_time: limits.head_time,
                whole_time: self.limits.body_time,
                bytes_per_second: self.limits.body_bytes_per_second,
            }));
        }
        self.receiving_since.map(|since| since + limits.head_time)
    }

    /// Time at which a connection without a message being received or written is checked or closed.
    fn idle_deadline(&self) -> Instant {
        let limits = self.handler.limits();
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
        if self.write_deadline().is_some_and(|at| at <= Instant::now()) {
            let (caller, left) = (self.place.caller(), self.output.len());
            self.log.log_not_read(caller, left);
            return false;
        }
        if self.receiving_since.is_some() {
            self.refuse_unread(408, UnreadReason::Timeout);
            return true;
        }
        !self.pending.is_empty()
    }

    fn is_idle_expired(&self) -> bool {
        let is_idle = self.input.is_empty() && self.partial.is_none();
        is_idle && self.is_closing_idle() && self.idle_since.elapsed() >= CLOSING_IDLE_TIMEOUT
    }

    fn is_closing_idle(&self) -> bool {
        *self.phase.borrow() >= ServerPhase::ClosingIdle
    }

    fn is_closing(&self) -> bool {
        self.is_place_given_up || *self.phase.borrow() >= ServerPhase::Closing
    }

    /// What the connection does, by which others may take its place.
    fn activity(&self) -> ConnectionActivity {
        if let Some(progress) = self.writing
            && !self.is_place_given_up
        {
            return ConnectionActivity::Writing(progress);
        }
        if !self.pending.is_empty() || self.is_place_given_up {
            return ConnectionActivity::Busy;
        }
        if let Some(partial) = &self.partial {
            return ConnectionActivity::Receiving(partial.progress);
        }
        match self.receiving_since {
            Some(since) => ConnectionActivity::Receiving(TransferProgress::new(since)),
            None => ConnectionActivity::Idle(self.idle_since),
        }
    }
}
