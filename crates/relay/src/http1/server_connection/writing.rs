//! Writes the responses of a connection, and gives up those that are not read in time.

use super::{RequestHandler, ServerConnection};

use crate::http1::request_handler::{ServerResponse, UnreadReason};

use lagoonshore_coordination::protection::transfer_progress::{TransferLimits, TransferProgress};
use std::time::Duration;
use tokio::{task::JoinError, time::Instant};

/// Time without progress after which writing a response to a caller is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

impl<H: RequestHandler> ServerConnection<H> {
    /// Adds the response to the next request to the output.
    pub(super) fn write_next_response(&mut self, response: Result<ServerResponse, JoinError>) {
        let Some(pending) = self.pending.pop_front() else {
            return;
        };
        let response =
            response.unwrap_or_else(|_| self.unread_response(502, UnreadReason::Failed, ""));
        let is_last = self.pending.is_empty();
        let closes = pending.closes || (is_last && self.is_closing());
        if closes {
            self.stop_receiving();
        }
        self.output.push(response, closes, pending.is_head);
        self.idle_since = Instant::now();
    }

    /// Writes as much output as the socket takes; `false` if the caller disconnected.
    pub(super) fn write_some(&mut self) -> bool {
        match self.output.write_to(&self.stream) {
            Ok(written) => {
                if written > 0 {
                    self.idle_since = Instant::now();
                }
                self.record_written(written);
                true
            }
            Err(_) => false,
        }
    }

    /// Records that `written` bytes of the output were written.
    fn record_written(&mut self, written: usize) {
        if self.output.is_empty() {
            self.writing = None;
            return;
        }
        let now = Instant::now();
        let progress = self
            .writing
            .get_or_insert_with(|| TransferProgress::new(now));
        progress.record(now, written, self.output.len());
    }

    /// Time at which the output is given up. While memory is nearly used up, it has to keep its pace.
    pub(super) fn write_deadline(&self) -> Option<Instant> {
        let progress = self.writing?;
        let deadline = progress.deadline(&TransferLimits {
            stall_time: WRITE_TIMEOUT,
            whole_time: self.limits.response_time,
            bytes_per_second: self.limits.response_bytes_per_second,
        });
        if self.limits.budget.is_nearly_used_up() {
            return Some(deadline.min(progress.pace_deadline()));
        }
        Some(deadline)
    }
}
