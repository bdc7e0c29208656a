//! What a node knows of quotas, for operators.

use super::{
    fleet_counters::FleetCounters,
    quota_counters::QuotaCounters,
    quota_gate::{QuotaGate, QuotaRefusal},
};

use lagoonshore_coordination::quota::account_counter::CounterTotals;
use lagoonshore_state::ids::AccountName;
use serde::Serialize;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Most accounts of each list, those with most requests.
const ACCOUNTS_MAX: usize = 50;

/// `QuotaDump` shows the counters of a node and the tokens that it holds.
#[derive(Debug, Serialize)]
pub struct QuotaDump {
    /// Availability zones among which quotas are divided.
    pub zones: u32,
    /// Tokens in hand for requests that begin here.
    pub hands: Vec<HandView>,
    /// Counters that this node keeps for its zone.
    pub counters: Vec<CounterView>,
}

/// `QuotaExpectation` is what a request of an account would meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaExpectation {
    /// The account has no quota.
    Unlimited,
    /// A token is in hand.
    InHand,
    /// The request waits while the counter is asked.
    Ask,
    /// It is refused.
    Refused(QuotaRefusal),
}

/// `HandView` is what a node holds of the quota of an account.
#[derive(Debug, Serialize)]
pub struct HandView {
    /// Name of the account.
    pub account: AccountName,
    /// Counter of the account in the zone of the node.
    pub counter: Option<SocketAddr>,
    /// Tokens in hand.
    pub tokens: u32,
    /// Requests a second at this node.
    pub request_rate: f64,
    /// Tokens a second that this node gets.
    pub token_rate: f64,
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Whether the counter is known to be short.
    pub is_short: bool,
}

/// `CounterView` is the counter of an account in the zone of the node.
#[derive(Debug, Serialize)]
pub struct CounterView {
    /// Name of the account.
    pub account: AccountName,
    /// Tokens in the bucket.
    pub tokens: f64,
    /// Most tokens in the bucket.
    pub capacity: f64,
    /// Part of the zone, in requests a second.
    pub rate: f64,
    /// Tokens a second that nodes want.
    pub demand: f64,
    /// Tokens since the counter began.
    pub totals: CounterTotals,
    /// Whether it asks other zones for a loan.
    pub is_borrowing: bool,
}

/// Returns what a node knows of quotas.
#[must_use]
pub fn dump(fleet: &FleetCounters, gate: &QuotaGate, counters: &QuotaCounters) -> QuotaDump {
    let mut hands = gate.views(|_| true);
    hands.sort_by(|left, right| right.request_rate.total_cmp(&left.request_rate));
    hands.truncate(ACCOUNTS_MAX);
    let mut views = counters.views(|_| true);
    views.sort_by(|left, right| right.demand.total_cmp(&left.demand));
    views.truncate(ACCOUNTS_MAX);
    QuotaDump {
        zones: fleet.zone_count(Instant::now()),
        hands,
        counters: views,
    }
}
