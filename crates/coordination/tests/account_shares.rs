//! Client accounts that compete for the slots of one upstream.
//!
//! The load: ten accounts send requests of the same importance to an upstream that can run all of
//! them. Then one of them sends ten times its usual for some seconds, half as much again in total as
//! the upstream can run.

use lagoonshore_coordination::forwarding::slot_queue::{
    SlotDecision, SlotQueue, SlotRank, SlotRequest, TicketId,
};
use lagoonshore_state::units::RequestImportance;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};
use tokio::time::Instant;

const TICK: Duration = Duration::from_millis(10);
const ACCOUNTS: usize = 10;
const SLOTS: u32 = 20;
const HOLD_TICKS: usize = 20;
const HOLD_TIME: Duration = Duration::from_millis(200);
const AIM: Duration = Duration::from_millis(600);
/// Requests per tick of an account; the upstream can run one per tick in total.
const USUAL_DEMAND: f64 = 0.08;
const SURGE_FACTOR: f64 = 10.0;
const SURGE: std::ops::Range<usize> = 300..1000;
const TICKS: usize = 1300;
/// The account that surges.
const HOT: usize = 0;

/// Requests of an account in the surge.
#[derive(Clone, Copy, Debug, Default)]
struct AccountCounts {
    sent: u32,
    served: u32,
}

impl AccountCounts {
    fn served_share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent)
    }
}

fn request(now: Instant, account: usize, has_accounts: bool) -> SlotRequest {
    let account = u64::try_from(account).expect("few accounts");
    SlotRequest {
        rank: SlotRank {
            importance: RequestImportance(1),
            is_new: true,
        },
        route: 1,
        account: has_accounts.then_some(account),
        finish_by: now + AIM,
        late_by: None,
        wait_max: AIM,
    }
}

/// Requests of each account, and all that began to run in the surge.
struct SurgeCounts {
    accounts: [AccountCounts; ACCOUNTS],
    started: u32,
}

fn play(has_accounts: bool) -> SurgeCounts {
    let start = Instant::now();
    let mut queue = SlotQueue::new(start, SLOTS);
    queue.record_hold_time(1, HOLD_TIME);
    let mut counts = [AccountCounts::default(); ACCOUNTS];
    let mut started = 0;
    let mut demands = [0.0; ACCOUNTS];
    let mut waiting: HashMap<TicketId, (usize, bool)> = HashMap::new();
    let mut ends: BTreeMap<usize, u32> = BTreeMap::new();
    for tick in 0..TICKS {
        let now = start + TICK * u32::try_from(tick).expect("few ticks");
        let is_surge = SURGE.contains(&tick);
        for _ in 0..ends.remove(&tick).unwrap_or_default() {
            queue.record_hold_time(1, HOLD_TIME);
            for ticket in queue.release(now).admitted {
                let (account, is_counted) = waiting.remove(&ticket).expect("it waits");
                counts[account].served += u32::from(is_counted);
                started += u32::from(is_surge);
                *ends.entry(tick + HOLD_TICKS).or_default() += 1;
            }
        }
        for account in 0..ACCOUNTS {
            let is_hot = account == HOT && is_surge;
            demands[account] += USUAL_DEMAND * if is_hot { SURGE_FACTOR } else { 1.0 };
            while demands[account] >= 1.0 {
                demands[account] -= 1.0;
                counts[account].sent += u32::from(is_surge);
                match queue.offer(now, request(now, account, has_accounts)) {
                    SlotDecision::Admitted => {
                        counts[account].served += u32::from(is_surge);
                        started += u32::from(is_surge);
                        *ends.entry(tick + HOLD_TICKS).or_default() += 1;
                    }
                    SlotDecision::Queued(ticket) => {
                        waiting.insert(ticket, (account, is_surge));
                    }
                    SlotDecision::Refused(_) => {}
                }
            }
        }
    }
    SurgeCounts {
        accounts: counts,
        started,
    }
}

fn lowest_other(counts: &[AccountCounts; ACCOUNTS]) -> f64 {
    let others = counts[HOT + 1..].iter();
    others
        .map(|counts| counts.served_share())
        .fold(1.0, f64::min)
}

/// The surge of one account is at its own cost: the others are served as in calm, and the account
/// still gets what they leave.
#[test]
fn a_surge_of_one_account_is_at_its_own_cost() {
    let (without, with) = (play(false).accounts, play(true).accounts);
    assert!(lowest_other(&without) < 0.9, "{without:?}");
    assert!(lowest_other(&with) > 0.95, "{with:?}");
    let usual_share = 1.0 / SURGE_FACTOR;
    assert!(with[HOT].served_share() > usual_share, "{with:?}");
}

/// As many requests run in the surge: no slot stays free for an account.
#[test]
fn shares_leave_no_slot_free() {
    let (without, with) = (play(false).started, play(true).started);
    assert!(with * 50 >= without * 49, "{without} {with}");
}
