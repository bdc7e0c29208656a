//! Time limits of the messages for tokens.

use std::time::Duration;

/// Longest time that a request waits for a token.
pub const WAIT_MAX: Duration = Duration::from_millis(250);
/// Time after which a node goes on to the next counter.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time that all loans for one ask may take.
pub const LOAN_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which requests are refused after no counter answered, and after which their callers may return.
pub const UNANSWERED_TIME: Duration = Duration::from_millis(100);
