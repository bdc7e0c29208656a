//! Shares of the client accounts in the slots of one upstream.
//!
//! It is made for this load: while slots are short, one account sends many times its usual. In the
//! order of arrival it takes the slots of the others in proportion. Max-min fairness gives an
//! account what it asks for up to an equal share, and divides the rest among those that ask for
//! more (Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2). Here an account that recently
//! had more than the mean comes after those that had less, by steps of a factor of two.

use crate::age_weights;

use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Hash of the name of a client account, the same at all nodes.
pub type AccountHash = u64;
/// How far an account is above its share; 0 for one that is not.
pub type ShareExcess = u8;

/// Time after which slot time counts half.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Largest excess.
const EXCESS_MAX: ShareExcess = 4;
/// Slot time below which an account is forgotten, in seconds.
const USAGE_MIN: f64 = 0.001;
/// Largest number of accounts that are tracked.
const ACCOUNTS_MAX: usize = 4096;

/// `AccountShares` holds the recent slot time of each account.
#[derive(Debug, Default)]
pub struct AccountShares {
    accounts: HashMap<AccountHash, AccountUsage>,
    total: AccountUsage,
    /// Time at which idle accounts were last forgotten.
    cleaned_at: Option<Instant>,
}

/// `AccountUsage` is an amount of slot time that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct AccountUsage {
    seconds: f64,
    updated_at: Option<Instant>,
}

impl AccountShares {
    /// Counts the expected slot time of a request that was admitted.
    pub fn record(&mut self, now: Instant, account: Option<AccountHash>, slot_time: Duration) {
        let Some(account) = account else {
            return;
        };
        self.forget_idle(now);
        if self.accounts.len() >= ACCOUNTS_MAX && !self.accounts.contains_key(&account) {
            return;
        }
        let usage = self.accounts.entry(account).or_default();
        usage.add(now, slot_time);
        self.total.add(now, slot_time);
    }

    /// How far `account` is above an equal share of the accounts seen lately. Requests without an
    /// account are not compared.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn excess(&self, now: Instant, account: Option<AccountHash>) -> ShareExcess {
        let Some(usage) = account.and_then(|account| self.accounts.get(&account)) else {
            return 0;
        };
        let mean = self.total.at(now) / self.accounts.len().max(1) as f64;
        let mut share = mean;
        let mut excess = 0;
        while excess < EXCESS_MAX && usage.at(now) > share {
            share *= 2.0;
            excess += 1;
        }
        excess
    }

    fn forget_idle(&mut self, now: Instant) {
        let is_due = self
            .cleaned_at
            .is_none_or(|cleaned| now.saturating_duration_since(cleaned) >= HALF_LIFE);
        if is_due {
            self.accounts.retain(|_, usage| usage.at(now) > USAGE_MIN);
            self.cleaned_at = Some(now);
        }
    }
}

impl AccountUsage {
    fn at(&self, now: Instant) -> f64 {
        let Some(updated) = self.updated_at else {
            return 0.0;
        };
        self.seconds * age_weights::decay_factor(now, updated, HALF_LIFE)
    }

    fn add(&mut self, now: Instant, slot_time: Duration) {
        self.seconds = self.at(now) + slot_time.as_secs_f64();
        self.updated_at = Some(now);
    }
}
