//! What became of a request, and why it was refused.

use lagoonshore_state::id_type;

use std::time::Duration;

id_type! {
    /// `CallOutcome` is what the system vouches for about one request.
    #[serde(rename_all = "kebab-case")]
    pub enum CallOutcome {
        /// The upstream ran the request and its whole answer is relayed.
        Ran,
        /// No byte of the request was handed to an upstream.
        NotRun,
        /// The request may or may not have run.
        Unknown,
    }

    /// `RefusalReason` is a stable code for why no answer of an upstream is relayed.
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// More important work takes the slots.
        Overload,
        /// The instance is leaving.
        Draining,
        /// The deadline passed.
        Timeout,
        /// No policy is in force for the service.
        NoPolicy,
        /// No instance of the service takes the call.
        NoInstance,
        /// The upstream accepts no connection.
        UpstreamUnreachable,
        /// The connection to the upstream or peer broke after the hand-over.
        ConnectionLost,
        /// The upstream sent no whole answer.
        BrokenAnswer,
        /// The request is larger than the bound.
        TooLarge,
        /// The request is malformed.
        BadRequest,
        /// The retry allowance is used up.
        RetryLimit,
        /// The process is not ready to serve yet.
        Starting,
        /// The request crashed the upstreams that ran it.
        Quarantined,
        /// Non-idempotent work came without a key.
        KeyRequired,
        /// The key is past its retention window.
        KeyExpired,
        /// The key was used for another request.
        KeyReused,
        /// The only node that may run the key cannot be reached.
        HomeUnreachable,
        /// The key ran and its answer is no longer held.
        AnswerEvicted,
        /// The message waited too long on its way.
        Stale,
    }
}

impl CallOutcome {
    /// Value of the outcome header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl RefusalReason {
    /// Value of the reason header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::Draining => "draining",
            Self::Timeout => "timeout",
            Self::NoPolicy => "no-policy",
            Self::NoInstance => "no-instance",
            Self::UpstreamUnreachable => "upstream-unreachable",
            Self::ConnectionLost => "connection-lost",
            Self::BrokenAnswer => "broken-answer",
            Self::TooLarge => "too-large",
            Self::BadRequest => "bad-request",
            Self::RetryLimit => "retry-limit",
            Self::Starting => "starting",
            Self::Quarantined => "quarantined",
            Self::KeyRequired => "key-required",
            Self::KeyExpired => "key-expired",
            Self::KeyReused => "key-reused",
            Self::HomeUnreachable => "home-unreachable",
            Self::AnswerEvicted => "answer-evicted",
            Self::Stale => "stale",
        }
    }

    /// HTTP status of an answer that the system makes for the reason (RFC 9110, section 15).
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::Timeout => 504,
            Self::ConnectionLost | Self::BrokenAnswer => 502,
            Self::TooLarge => 413,
            Self::BadRequest => 400,
            Self::KeyReused => 409,
            Self::KeyExpired | Self::AnswerEvicted => 410,
            // "Precondition Required", RFC 6585, section 3.
            Self::KeyRequired => 428,
            _ => 503,
        }
    }

    /// Tells whether another instance may take a request that was refused for the reason.
    #[must_use]
    pub const fn can_retry_elsewhere(self) -> bool {
        !matches!(
            self,
            Self::Timeout
                | Self::TooLarge
                | Self::BadRequest
                | Self::RetryLimit
                | Self::Quarantined
        )
    }

    /// Time after which a caller may try again; `None` where trying again cannot help.
    #[must_use]
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::TooLarge
            | Self::BadRequest
            | Self::Quarantined
            | Self::KeyRequired
            | Self::KeyExpired
            | Self::KeyReused
            | Self::AnswerEvicted => None,
            _ => Some(Duration::from_secs(1)),
        }
    }
}
