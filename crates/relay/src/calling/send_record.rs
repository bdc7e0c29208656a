//! What the choice of peers learns from one sending.

use super::{
    peer_links::LinkError,
    peer_table::{PeerTable, PeerTarget},
};

use lagoonshore_coordination::request::{outcome::CallOutcome, request_lifecycle::CallRefusal};
use lagoonshore_protocol::relay_messages::{DeliveryStatus, RelayReply, RelayResult};
use lagoonshore_state::instance_table::InstanceKey;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// `SendRecord` tells the book how a sending went, also when its future is dropped.
pub(crate) struct SendRecord<'a> {
    book: &'a PeerTable,
    key: InstanceKey,
    address: SocketAddr,
    typical: Option<Duration>,
    started: Instant,
    is_closed: bool,
}

impl<'a> SendRecord<'a> {
    pub(crate) fn open(
        book: &'a PeerTable,
        target: &PeerTarget,
        typical: Option<Duration>,
    ) -> Self {
        book.record_start(target.key);
        Self {
            book,
            key: target.key,
            address: target.address,
            typical,
            started: Instant::now(),
            is_closed: false,
        }
    }

    pub(crate) fn close(mut self, reply: &Result<RelayReply, LinkError>) -> Duration {
        self.is_closed = true;
        let elapsed = self.started.elapsed();
        let reply = match reply {
            Ok(reply) => reply,
            Err(LinkError::Connect) => {
                self.book.record_unreachable(self.key);
                return elapsed;
            }
            Err(LinkError::Lost | LinkError::TimedOut) => {
                self.book.record_failure(self.key);
                return elapsed;
            }
        };
        self.book.record_status(self.key, self.address, reply.news);
        match &reply.result {
            // Where the run made calls, one of them may be the cause.
            RelayResult::Answered(answer) if answer.is_failure() && reply.calls == 0 => {
                self.book.record_error_response(self.key);
            }
            RelayResult::Answered(_) => {
                let typical = self.typical.unwrap_or(elapsed);
                self.book.record_response(self.key, elapsed, typical);
            }
            RelayResult::Refused(refusal) => {
                let outcome = match refusal.reach {
                    DeliveryStatus::Unknown => CallOutcome::Unknown,
                    _ => CallOutcome::NotRun,
                };
                let reason = refusal.reason;
                self.book
                    .record_refusal(self.key, CallRefusal { outcome, reason });
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
            self.book.record_abandoned(self.key, elapsed, typical);
        }
    }
}
