//! The counters of the account and their loans.

use super::{ACCOUNT, QuotaFleet, RULES, index_of, links::Message, zone_name};

use lagoonshore_coordination::quota::{
    account_counter::{AccountCounter, lender_deadline},
    quota_timeouts::LOAN_TIMEOUT,
};
use std::time::Duration;
use tokio::time::Instant;

/// A node that waits for tokens of the counter, with what it got so far.
pub(super) struct PendingGrant {
    pub(super) node: usize,
    pub(super) ask: u64,
    pub(super) granted: f64,
    pub(super) missing: f64,
}

pub(super) struct OpenLoan {
    pub(super) id: u64,
    pub(super) others: Vec<usize>,
    pub(super) asked: f64,
    pub(super) got: f64,
    pub(super) ends_at: Instant,
    /// Time by which the lender that was asked last has to answer.
    pub(super) lender_until: Instant,
}

impl QuotaFleet {
    /// Has the node that asks tell the counter at `index` how many zones it knows of.
    pub(super) fn hear_zones(&mut self, index: usize, asker: usize) {
        let zones = self.nodes[asker].choice.zone_count(self.local(asker));
        let now = self.local(index);
        let choice = &mut self.nodes[index].choice;
        choice.record_zones_heard(now, zones);
    }

    /// Has a node that has just started ask whether another one counts in its place.
    pub(super) fn check_stand_in(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let zone = zone_name(node.zone);
        let stand_in = node.choice.stand_in(now, ACCOUNT, &zone, node.address);
        let Some(address) = stand_in else { return };
        let other = index_of(address);
        let is_reached = self.groups[other] == self.groups[index] && !self.nodes[other].is_down;
        let other_now = self.local(other);
        let choice = &mut self.nodes[other].choice;
        let is_free = is_reached && choice.counter(other_now, ACCOUNT, &zone) != Some(address);
        let choice = &mut self.nodes[index].choice;
        if is_free {
            choice.confirm(now, ACCOUNT);
        } else {
            choice.defer(ACCOUNT);
        }
    }

    /// Opens the counter of a node; `false` if it may not count now.
    pub(super) fn open_counter(&mut self, index: usize) -> bool {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let zone = zone_name(node.zone);
        let choice = &mut node.choice;
        let Some(since) = choice.counting_since(now, ACCOUNT, &zone, node.address) else {
            return false;
        };
        if since > now {
            return false;
        }
        let zones = choice.divided_zones(now);
        let part = RULES.zone_part(node.quota, zones);
        let known = node.counter.take();
        let mut counter = known.unwrap_or_else(|| AccountCounter::new(now, since, part));
        counter.renew(now, since);
        counter.set_part(now, part);
        node.counter = Some(counter);
        true
    }

    pub(super) fn receive_ask(&mut self, from: usize, index: usize, ask: u64, wanted: f64) {
        self.check_stand_in(index);
        if !self.open_counter(index) {
            self.send(index, from, Message::NotCounter { ask });
            return;
        }
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let counter = node.counter.as_mut().expect("opened");
        let granted = counter.take(now, wanted);
        node.pending.push(PendingGrant {
            node: from,
            ask,
            granted,
            missing: wanted - granted,
        });
        let missing = wanted - granted;
        if missing > 0.0 && node.loan.is_some() {
            return;
        }
        let amount = (missing > 0.0)
            .then(|| counter.start_loan(now, missing, &RULES))
            .flatten();
        let Some(amount) = amount else {
            let pending = self.nodes[index].pending.pop().expect("just added");
            self.answer(index, &pending);
            return;
        };
        let zone = zone_name(node.zone);
        let others = node.choice.other_counters(now, ACCOUNT, &zone);
        let others = others.into_iter();
        self.serial += 1;
        node.loan = Some(OpenLoan {
            id: self.serial,
            others: others.rev().map(index_of).collect(),
            asked: amount,
            got: 0.0,
            ends_at: now + LOAN_TIMEOUT,
            lender_until: now,
        });
        self.ask_for_loan(index);
    }

    pub(super) fn ask_for_loan(&mut self, index: usize) {
        self.serial += 1;
        let serial = self.serial;
        let now = self.local(index);
        let Some(loan) = self.nodes[index].loan.as_mut() else {
            return;
        };
        let wanted = loan.asked - loan.got;
        loan.lender_until = lender_deadline(now, loan.ends_at, loan.others.len());
        if wanted > 1e-9
            && let Some(lender) = loan.others.pop()
        {
            loan.id = serial;
            let message = Message::LoanAsk {
                loan: serial,
                wanted,
            };
            self.send(index, lender, message);
            return;
        }
        self.finish_loan(index);
    }

    pub(super) fn finish_loan(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let Some(loan) = node.loan.take() else { return };
        let Some(counter) = node.counter.as_mut() else {
            return;
        };
        counter.finish_loan(now, loan.asked - 1e-9, loan.got);
        let mut pending = std::mem::take(&mut node.pending);
        for grant in &mut pending {
            let more = counter.take_again(now, grant.missing);
            grant.granted += more;
            grant.missing -= more;
        }
        for grant in &pending {
            self.answer(index, grant);
        }
    }

    pub(super) fn answer(&mut self, index: usize, grant: &PendingGrant) {
        let now = self.local(index);
        let counter = self.nodes[index].counter.as_mut().expect("opened");
        let short_for = if grant.missing > 0.0 {
            counter.next_turn(now, grant.missing)
        } else {
            Duration::ZERO
        };
        let message = Message::Grant {
            ask: grant.ask,
            tokens: grant.granted,
            short_for,
        };
        self.send(index, grant.node, message);
    }
}
