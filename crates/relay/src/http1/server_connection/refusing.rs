//! Refuses requests that are not read, or not to their end, and closes connections whose place is needed.

use super::{PendingResponse, RequestHandler, ServerConnection};

use crate::http1::{
    body::BodyError,
    request_handler::{ServerResponse, UnreadReason, UnreadRequest},
};

use std::time::Duration;
use tokio::time::Instant;

/// Longest time for which input is discarded after the response to a request whose body was not read: its
/// caller may read the response only after it has sent the body.
const BODY_DISCARD_TIME: Duration = Duration::from_secs(5);

impl<H: RequestHandler> ServerConnection<H> {
    /// Refuses the request whose body cannot be read.
    pub(super) fn refuse_body(&mut self, error: BodyError) {
        let Some(partial) = self.partial.take() else {
            return;
        };
        self.refuse_request(error.into(), &partial.head.id.unwrap_or_default());
    }

    /// Answers input that is no complete request with `status`.
    pub(super) fn refuse_unread(&mut self, status: u16, reason: UnreadReason) {
        let partial = self.partial.take();
        let id = partial.and_then(|partial| partial.head.id);
        self.refuse_with(status, reason, &id.unwrap_or_default());
    }

    /// Answers the request `id`, which was not read, and stops reading, since the start of a following
    /// request cannot be found.
    pub(super) fn refuse_request(&mut self, reason: UnreadReason, id: &str) {
        self.refuse_with(reason.status(), reason, id);
    }

    fn refuse_with(&mut self, status: u16, reason: UnreadReason, id: &str) {
        let response = self.unread_response(status, reason, id);
        if !id.is_empty() {
            self.discard_time = BODY_DISCARD_TIME;
        }
        self.stop_receiving();
        self.pending.push_back(PendingResponse {
            task: actix_rt::spawn(std::future::ready(response)),
            closes: true,
            is_head: false,
        });
    }

    /// Drops a request that is not complete, and reads no further one.
    pub(super) fn stop_receiving(&mut self) {
        if self.partial.take().is_some() {
            self.discard_time = BODY_DISCARD_TIME;
        }
        self.receiving_since = None;
        self.input.clear();
        self.is_input_closed = true;
    }

    pub(super) fn unread_response(
        &self,
        status: u16,
        reason: UnreadReason,
        id: &str,
    ) -> ServerResponse {
        self.handler.refuse_unread(UnreadRequest {
            status,
            reason,
            id,
            caller: self.place.caller(),
        })
    }

    /// Closes a connection that makes no use of its place; returns whether it may be dropped. Requests that
    /// arrived meanwhile are answered first, unless the caller does not read its responses.
    pub(super) fn give_up_place(&mut self) -> bool {
        self.is_place_given_up = true;
        let now = Instant::now();
        if self
            .writing
            .is_some_and(|progress| progress.slow_since(now).is_some())
        {
            return true;
        }
        if !self.pending.is_empty() || !self.output.is_empty() {
            return false;
        }
        if self.receiving_since.is_some() {
            let partial = self.partial.take();
            let id = partial.and_then(|partial| partial.head.id);
            let reason = UnreadReason::GivenUp;
            let response = self.unread_response(reason.status(), reason, &id.unwrap_or_default());
            self.output.push(response, true, false);
            // The connection is dropped either way.
            let _ = self.write_some();
        }
        true
    }
}
