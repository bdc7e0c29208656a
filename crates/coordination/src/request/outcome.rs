//! Outcomes of requests and reasons for refusals.

use lagoonshore_state::id_type;

use std::time::Duration;

id_type! {
    /// `CallOutcome` says whether a request ran, as far as the system can prove.
    #[serde(rename_all = "kebab-case")]
    pub enum CallOutcome {
        /// The upstream ran the request; its complete response is relayed unless it was evicted.
        Ran,
        /// No byte of the request was sent to an upstream.
        NotRun,
        /// The request may or may not have run.
        Unknown,
    }

    /// `RefusalReason` is a stable code that says why no response of an upstream is relayed.
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// The service is overloaded and serves more important requests, or a bounded table of the
        /// node is full.
        Overload,
        /// The instance is draining.
        Draining,
        /// The deadline passed.
        Timeout,
        /// No policy is in force for the service.
        NoPolicy,
        /// No instance of the service is available for the call.
        NoInstance,
        /// The upstream accepts no connections.
        UpstreamUnreachable,
        /// The connection to the upstream or peer broke after the request was dispatched.
        ConnectionLost,
        /// The upstream sent no complete response.
        BrokenAnswer,
        /// The request exceeds a size limit.
        TooLarge,
        /// The request is malformed.
        BadRequest,
        /// The retry budget or the retry tokens of the request are exhausted.
        RetryLimit,
        /// The node is not ready to serve yet.
        Starting,
        /// The request is in quarantine after upstreams that ran it crashed.
        Quarantined,
        /// A non-idempotent request came without an idempotency key.
        KeyRequired,
        /// The idempotency key is too old to start, or past its retention time.
        KeyExpired,
        /// The idempotency key was used for another request.
        KeyReused,
        /// The home of the idempotency key cannot be reached.
        HomeUnreachable,
        /// The request ran, but its response is no longer retained.
        AnswerEvicted,
        /// The client account has used up its quota.
        QuotaExceeded,
        /// No counter of the quota of the client account can be reached.
        QuotaUnknown,
        /// The message is older than the limit, or the process was paused and has not checked its
        /// upstream since.
        Stale,
    }
}

impl CallOutcome {
    /// Value of the `lagoonshore-outcome` header.
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
    /// Value of the `lagoonshore-reason` header.
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
            Self::QuotaExceeded => "quota",
            Self::QuotaUnknown => "quota-unknown",
            Self::Stale => "stale",
        }
    }

    /// HTTP status code of the response to a refused request (RFC 9110, section 15).
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
            // "Too Many Requests", RFC 6585, section 4.
            Self::QuotaExceeded => 429,
            _ => 503,
        }
    }

    /// Returns whether another instance may accept a request that was refused for this reason.
    #[must_use]
    pub const fn can_retry_elsewhere(self) -> bool {
        !matches!(
            self,
            Self::Timeout
                | Self::TooLarge
                | Self::BadRequest
                | Self::RetryLimit
                | Self::Quarantined
                | Self::QuotaExceeded
        )
    }

    /// Time after which a caller may retry; `None` if a retry cannot succeed.
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
