//! What the choice of peers learns from one sending.

use super::{
    peer_book::{PeerBook, PeerTarget},
    peer_links::LinkFault,
};

use lagoonshore_coordination::request::{outcome::CallOutcome, request_lifecycle::CallRefusal};
use lagoonshore_protocol::relay_messages::{DeliveryStatus, RelayReply, RelayResult};
use lagoonshore_state::instance_table::InstanceKey;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// `SendRecord` tells the book how a sending went, also when its future is dropped.
pub(crate) struct SendRecord<'a> {
    book: &'a PeerBook,
    key: InstanceKey,
    address: SocketAddr,
    typical: Option<Duration>,
    started: Instant,
    is_closed: bool,
}

impl<'a> SendRecord<'a> {
    pub(crate) fn open(book: &'a PeerBook, target: &PeerTarget, typical: Option<Duration>) -> Self {
        book.started(target.key);
        Self {
            book,
            key: target.key,
            address: target.address,
            typical,
            started: Instant::now(),
            is_closed: false,
        }
    }

    pub(crate) fn close(mut self, reply: &Result<RelayReply, LinkFault>) -> Duration {
        self.is_closed = true;
        let elapsed = self.started.elapsed();
        let reply = match reply {
            Ok(reply) => reply,
            Err(LinkFault::Connect) => {
                self.book.unreachable(self.key);
                return elapsed;
            }
            Err(LinkFault::Lost | LinkFault::TimedOut) => {
                self.book.failed(self.key);
                return elapsed;
            }
        };
        self.book.take_news(self.key, self.address, reply.news);
        match &reply.result {
            // Where the run made calls, one of them may be the cause.
            RelayResult::Answered(answer) if answer.is_failure() && reply.calls == 0 => {
                self.book.answered_badly(self.key);
            }
            RelayResult::Answered(_) => {
                let typical = self.typical.unwrap_or(elapsed);
                self.book.answered(self.key, elapsed, typical);
            }
            RelayResult::Refused(refusal) => {
                let outcome = match refusal.reach {
                    DeliveryStatus::Unknown => CallOutcome::Unknown,
                    _ => CallOutcome::NotRun,
                };
                let reason = refusal.reason;
                self.book.refused(self.key, CallRefusal { outcome, reason });
            }
        }
        elapsed
    }
}

impl Drop for SendRecord<'_> {
    fn drop(&mut self) {
        if !self.is_closed {
            let elapsed = self.started.elapsed();
            let typical = self.typical.unwrap_or(elapsed);
            self.book.abandoned(self.key, elapsed, typical);
        }
    }
}
