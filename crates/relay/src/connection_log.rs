//! Rate-limited log lines about connections that are closed for want of places, or of callers that read.

use crate::{events, line_budget::LineBudget, relay_metrics};

use std::net::IpAddr;
use tracing::warn;

/// Lines in one [`LINE_WINDOW`](crate::line_budget::LINE_WINDOW).
const LINES_MAX: u32 = 5;

/// `ConnectionLog` counts connections that were closed and logs them.
#[derive(Debug)]
pub(crate) struct ConnectionLog {
    lines: LineBudget,
}

impl Default for ConnectionLog {
    fn default() -> Self {
        Self {
            lines: LineBudget::new(LINES_MAX),
        }
    }
}

impl ConnectionLog {
    /// Logs that a new connection of `caller` was closed at once.
    pub(crate) fn log_refused(&self, caller: IpAddr, limit: usize) {
        relay_metrics::count_connection_closed("refused");
        if let Some(left_out) = self.lines.take() {
            warn!(
                event = events::CONNECTION_REFUSED,
                %caller, limit, left_out,
                "connection: refused, all places are in use"
            );
        }
    }

    /// Logs that a connection of `caller` that was not in use was closed for a new one of `new_caller`.
    pub(crate) fn log_given_up(&self, caller: IpAddr, new_caller: IpAddr, limit: usize) {
        relay_metrics::count_connection_closed("given-up");
        if let Some(left_out) = self.lines.take() {
            warn!(
                event = events::CONNECTION_GIVEN_UP,
                %caller, %new_caller, limit, left_out,
                "connection: closed for a new one"
            );
        }
    }

    /// Logs that a connection was closed since `caller` did not read its responses in time.
    pub(crate) fn log_not_read(&self, caller: IpAddr, unread_bytes: usize) {
        relay_metrics::count_connection_closed("not-read");
        if let Some(left_out) = self.lines.take() {
            warn!(
                event = events::CONNECTION_NOT_READ,
                %caller, unread_bytes, left_out,
                "connection: closed, responses not read"
            );
        }
    }
}
