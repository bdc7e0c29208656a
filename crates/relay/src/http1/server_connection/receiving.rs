//! Reads and parses the requests of a connection, and starts those that are complete.

use super::{PendingResponse, RequestHandler, ServerConnection};

use crate::http1::{
    body::{BodyFraming, BodyReader},
    connection_table::ConnectionPlace,
    head::{self, HeadError, RequestHead},
    request_handler::{ServerRequest, UnreadReason},
    server::ServerLimits,
};

use lagoonshore_coordination::protection::transfer_progress::TransferProgress;
use lagoonshore_transport::{
    body_memory::BodyMemory,
    memory_budget::{MemoryShare, UNCOUNTED_BYTES},
    memory_report::MemoryHolder,
};
use std::{io::ErrorKind, rc::Rc, sync::Arc};
use tokio::time::Instant;

/// Most requests of one connection that are handled concurrently.
const PIPELINED_REQUESTS_MAX: usize = 32;
/// Unparsed input, in bytes, above which reading pauses until responses are written.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// The same between requests while memory is short.
const READ_AHEAD_BYTES_SHORT: usize = 4 * 1024;
/// Memory of a request in progress beside its head and body, in bytes.
const REQUEST_BYTES: usize = 16 * 1024;
/// Input after which other connections get their turn, in reads.
const READS_PER_TURN: u32 = 16;

/// A request whose body is incomplete.
pub(super) struct PartialRequest {
    pub(super) head: RequestHead,
    pub(super) body: BodyReader,
    pub(super) progress: TransferProgress,
    received: Instant,
}

impl<H: RequestHandler> ServerConnection<H> {
    /// Parses the complete requests in the input and starts them.
    pub(super) fn parse_requests(&mut self) {
        while !self.is_input_closed && self.may_receive() {
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
                    partial.record_progress(before);
                    break;
                }
                Err(error) => self.refuse_body(error),
            }
        }
        self.input_pool.compact(&mut self.input);
        self.input_memory.reduce_to(self.input.len());
        self.count_unparsed();
    }

    /// Returns whether a request may be received. Pipelined ones wait while memory is short, unless they
    /// have begun to arrive.
    fn may_receive(&self) -> bool {
        let pending = self.pending.len();
        let has_begun = pending == 0 || self.receiving_since.is_some();
        has_begun || (pending < PIPELINED_REQUESTS_MAX && !self.limits.budget.is_short())
    }

    /// Unparsed input, in bytes, above which reading pauses. It does not pause within a body.
    pub(super) fn read_ahead_max(&self) -> usize {
        if self.partial.is_some() {
            return usize::MAX;
        }
        if self.receiving_since.is_none() && self.limits.budget.is_short() {
            return READ_AHEAD_BYTES_SHORT;
        }
        READ_AHEAD_BYTES
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
        let parsed = head::parse_request(
            &mut self.input,
            limits.head_bytes,
            &self.scheme,
            self.handler.credentials_use(),
        );
        let head = match parsed {
            Ok(Some(head)) => head,
            Ok(None) => return false,
            Err(HeadError::TooLarge) => {
                self.refuse_unread(431, UnreadReason::TooLarge);
                return false;
            }
            Err(HeadError::Malformed) => {
                self.refuse_unread(400, UnreadReason::Malformed);
                return false;
            }
        };
        if head.expects_continue && head.framing != BodyFraming::Length(0) {
            self.output.push_continue();
        }
        let body = BodyReader::new(head.framing, limits.body_bytes);
        match body.and_then(|body| body.with_memory(self.body_memory(&head))) {
            Ok(body) => {
                self.partial = Some(PartialRequest {
                    head,
                    body,
                    progress: TransferProgress::new(Instant::now()),
                    received,
                });
                true
            }
            Err(error) => {
                self.refuse_request(error.into(), &head.id.unwrap_or_default());
                false
            }
        }
    }

    /// Memory for the body that follows `head`. A body that is not counted is kept in any case.
    fn body_memory(&mut self, head: &RequestHead) -> BodyMemory {
        let mut beside = head.fields.len();
        if !self.pending.is_empty() {
            // The memory of a connection covers only one small request.
            beside += UNCOUNTED_BYTES + REQUEST_BYTES;
        }
        let share = request_share(&self.limits, &self.place).with_beside(beside);
        if matches!(head.framing, BodyFraming::Length(length) if length <= UNCOUNTED_BYTES) {
            return BodyMemory::counted(share);
        }
        self.body_given_up = Arc::default();
        let given_up = Arc::clone(&self.body_given_up);
        BodyMemory::arriving(share, self.place.caller(), given_up)
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
            ..
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

    /// Reads available input; `false` if the caller disconnected.
    pub(super) fn read_some(&mut self) -> bool {
        self.input_pool.prepare(&mut self.input);
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => false,
            Ok(read) => {
                self.count_input(read);
                true
            }
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Records input that was read. Input after the last request is discarded.
    fn count_input(&mut self, read: usize) {
        self.idle_since = Instant::now();
        self.reads_in_turn += 1;
        if self.is_input_closed {
            self.discarded_bytes += read;
            self.input.clear();
        }
        self.count_unparsed();
    }

    /// Counts the unparsed input between bodies. Within a body, whose memory is reserved, input moves into it
    /// at once, and must not take the memory of that body.
    fn count_unparsed(&mut self) {
        if self.is_input_closed || self.partial.is_some() {
            return;
        }
        if !self.input_memory.extend_to(self.input.len()) {
            self.refuse_unread(503, UnreadReason::NoMemory);
        }
    }

    /// Lets other connections run after some input.
    pub(super) async fn end_turn(&mut self) {
        if self.reads_in_turn >= READS_PER_TURN {
            self.reads_in_turn = 0;
            tokio::task::yield_now().await;
        }
    }
}

impl PartialRequest {
    /// Records what was read beyond `before` bytes of the body.
    fn record_progress(&mut self, before: usize) {
        let length = self.body.len();
        let held = match self.head.framing {
            BodyFraming::Length(length) => length,
            _ => length,
        };
        self.progress.record(Instant::now(), length - before, held);
    }
}

/// The empty share of a request in the memory of messages.
pub(super) fn request_share(limits: &ServerLimits, place: &ConnectionPlace) -> MemoryShare {
    let holder = MemoryHolder::Caller(place.caller());
    limits.budget.request_share().held_by(holder)
}
