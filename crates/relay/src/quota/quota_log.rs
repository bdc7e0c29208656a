//! Bounded log lines and metrics about quotas.

use super::quota_gate::QuotaRefusal;

use crate::{calling::peer_links::LinkError, events, line_budget::LineBudget, relay_metrics};

use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_state::{ids::AccountName, units::whole_millis};
use std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, time::Duration};
use tracing::{info, warn};

/// Lines of each kind in one [`LINE_WINDOW`](crate::line_budget::LINE_WINDOW).
const LINES_MAX: u32 = 5;
/// Accounts that are named in metrics; the others are counted together.
const NAMED_ACCOUNTS_MAX: usize = 32;
/// Label of the accounts that are counted together. No account has this name, since names hold no blanks.
const OTHER_ACCOUNTS: &str = "other accounts";

/// `QuotaLog` counts decisions on quotas and logs them.
pub struct QuotaLog {
    refusals: LineBudget,
    loans: LineBudget,
    silence: LineBudget,
    named: RefCell<BTreeSet<AccountName>>,
}

impl Default for QuotaLog {
    fn default() -> Self {
        Self {
            refusals: LineBudget::new(LINES_MAX),
            loans: LineBudget::new(LINES_MAX),
            silence: LineBudget::new(LINES_MAX),
            named: RefCell::default(),
        }
    }
}

impl QuotaLog {
    /// Logs that a request of `account` was refused; `rates` are the requests and the tokens a second of
    /// the account at this node.
    pub(crate) fn log_refused(
        &self,
        account: &AccountName,
        refusal: QuotaRefusal,
        rates: (f64, f64),
    ) {
        let QuotaRefusal {
            reason,
            retry_after,
        } = refusal;
        relay_metrics::count_refused(reason.as_str());
        relay_metrics::count_quota_refused(&self.label(account), reason.as_str());
        let Some(left_out) = self.refusals.take() else {
            return;
        };
        let (request_rate, token_rate) = rates;
        info!(
            event = events::QUOTA_REFUSED,
            account = %account,
            reason = reason.as_str(),
            is_over = reason == RefusalReason::QuotaExceeded,
            request_rate,
            token_rate,
            retry_ms = whole_millis(retry_after),
            left_out,
            "quota: request refused"
        );
    }

    /// Logs that this node borrowed `got` of the `asked` tokens from other zones.
    pub(crate) fn log_loan(&self, account: &AccountName, asked: f64, got: f64, took: Duration) {
        relay_metrics::count_quota_tokens("borrowed", got);
        let Some(left_out) = self.loans.take() else {
            return;
        };
        info!(
            event = events::QUOTA_BORROWED,
            account = %account,
            asked,
            got,
            took_ms = whole_millis(took),
            left_out,
            "quota: tokens borrowed from other zones"
        );
    }

    /// Logs that a counter did not answer.
    pub(crate) fn log_unanswered(&self, counter: SocketAddr, error: LinkError) {
        let Some(left_out) = self.silence.take() else {
            return;
        };
        warn!(
            event = events::COUNTER_SILENT,
            counter = %counter,
            cause = ?error,
            left_out,
            "quota: a counter does not answer"
        );
    }

    /// Label of `account` in metrics.
    fn label(&self, account: &AccountName) -> AccountName {
        let mut named = self.named.borrow_mut();
        if named.len() < NAMED_ACCOUNTS_MAX {
            named.insert(account.clone());
        }
        if named.contains(account) {
            return account.clone();
        }
        OTHER_ACCOUNTS.into()
    }
}
