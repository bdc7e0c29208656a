//! What would happen to a request of a caller at this node, before it is sent to an instance.

use crate::{
    access_gate::AccessDenial,
    quota::{quota_gate::QuotaRefusal, quota_view::QuotaExpectation},
};

use lagoonshore_state::units::whole_millis;
use serde::Serialize;
use std::time::Duration;

/// `RequestExpectation` says what would happen to a request, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RequestExpectation {
    /// What would happen.
    pub result: ExpectedResult,
    /// Reason in words; the `Lagoonshore-Reason` of a refusal.
    pub reason: &'static str,
    /// HTTP status of a refusal.
    pub status: Option<u16>,
    /// Time after which a refused caller may return, in milliseconds; `None` if a retry cannot help.
    pub retry_after_ms: Option<u32>,
}

/// `ExpectedResult` is what would happen to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExpectedResult {
    /// It is sent to an instance at once.
    Sent,
    /// It waits until a counter of the quota has answered.
    WaitsForCounter,
    /// It is refused.
    Refused,
}

impl RequestExpectation {
    /// A request that nothing stops.
    pub const ADMITTED: Self = Self::admitted(ExpectedResult::Sent, "no quota applies");

    const fn admitted(result: ExpectedResult, reason: &'static str) -> Self {
        Self {
            result,
            reason,
            status: None,
            retry_after_ms: None,
        }
    }

    pub(crate) fn refused(
        status: u16,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) -> Self {
        Self {
            result: ExpectedResult::Refused,
            reason,
            status: Some(status),
            retry_after_ms: retry_after.map(whole_millis),
        }
    }

    pub(crate) fn of_denial(denial: AccessDenial) -> Self {
        Self::refused(denial.status, denial.reason, denial.retry_after)
    }

    pub(crate) fn of_quota(expectation: QuotaExpectation) -> Self {
        match expectation {
            QuotaExpectation::Unlimited => Self::ADMITTED,
            QuotaExpectation::InHand => {
                Self::admitted(ExpectedResult::Sent, "a quota token is in hand")
            }
            QuotaExpectation::Ask => Self::admitted(
                ExpectedResult::WaitsForCounter,
                "no quota token is in hand, the counter will be asked",
            ),
            QuotaExpectation::Refused(refusal) => {
                let QuotaRefusal {
                    reason,
                    retry_after,
                } = refusal;
                Self::refused(reason.status(), reason.as_str(), Some(retry_after))
            }
        }
    }
}
