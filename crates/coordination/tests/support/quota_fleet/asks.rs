//! Requests of the account at a node, and its asks for tokens.

use super::{
    ACCOUNT, PROOF_LIFE, QuotaFleet, RULES, counting::OpenLoan, index_of, links::Message, zone_name,
};

use lagoonshore_coordination::quota::quota_timeouts::{ASK_TIMEOUT, WAIT_MAX};
use std::time::Duration;
use tokio::time::Instant;

/// An ask of a node: the counters still to be asked, the last of which has been asked.
pub(super) struct OpenAsk {
    pub(super) id: u64,
    pub(super) others: Vec<usize>,
    pub(super) asked: usize,
    pub(super) sent_at: Instant,
}

impl QuotaFleet {
    /// Has a request arrive at a node.
    pub(crate) fn arrive(&mut self, index: usize) {
        self.asked += 1;
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let is_proven = node
            .cut_since
            .is_none_or(|since| self.now < since + PROOF_LIFE);
        if node.is_down || !is_proven {
            return;
        }
        node.hand.record_request(now);
        if node.hand.take(now).is_some() {
            self.admitted.push(self.now);
            if node.ask.is_none() && node.hand.is_low(now, &RULES) {
                self.start_ask(index);
            }
            return;
        }
        if !node.hand.can_ask(now) {
            self.refuse(index);
            return;
        }
        node.waiting.push(now + WAIT_MAX);
        if node.ask.is_none() {
            self.start_ask(index);
        }
    }

    /// Tells a caller when to return.
    pub(super) fn refuse(&mut self, index: usize) {
        let now = self.local(index);
        let nodes = u32::try_from(self.nodes.len()).expect("few nodes");
        let node = &mut self.nodes[index];
        let wait = node.hand.retry_after(now, node.quota.rate, nodes);
        self.returns.push(self.now + wait);
    }

    pub(super) fn start_ask(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let zone = zone_name(node.zone);
        let own = node.choice.counter(now, ACCOUNT, &zone);
        let others = node.choice.other_counters(now, ACCOUNT, &zone);
        let targets = own.into_iter().chain(others).collect();
        let targets = node.silent.select(now, targets).into_iter();
        let mut targets: Vec<usize> = targets.map(index_of).collect();
        targets.reverse();
        self.serial += 1;
        self.nodes[index].ask = Some(OpenAsk {
            id: self.serial,
            others: targets,
            asked: index,
            sent_at: now,
        });
        self.ask_next(index);
    }

    pub(super) fn ask_next(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let Some(ask) = node.ask.as_mut() else { return };
        let Some(target) = ask.others.pop() else {
            node.ask = None;
            node.waiting.clear();
            return;
        };
        ask.asked = target;
        ask.sent_at = now;
        let waiting = u32::try_from(node.waiting.len()).expect("few wait");
        let wanted = node.hand.wanted(now, waiting, &RULES);
        let message = Message::Ask {
            ask: ask.id,
            wanted,
        };
        self.send(index, target, message);
    }

    /// Records whether the counter that `index` asked has answered.
    pub(super) fn record_answer(&mut self, index: usize, counter: usize, is_answered: bool) {
        let now = self.local(index);
        let counter = self.nodes[counter].address;
        let silent = &mut self.nodes[index].silent;
        if is_answered {
            silent.record_answer(counter);
        } else {
            silent.record_silence(now, counter);
        }
    }

    pub(super) fn expire(&mut self, index: usize) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        node.waiting.retain(|until| now < *until);
        if let Some(ask) = &node.ask
            && now >= ask.sent_at + ASK_TIMEOUT
        {
            let asked = ask.asked;
            self.record_answer(index, asked, false);
            self.ask_next(index);
        }
        let node = &self.nodes[index];
        let is_silent = |loan: &OpenLoan| now >= loan.lender_until;
        if node.loan.as_ref().is_some_and(is_silent) {
            self.ask_for_loan(index);
        }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn receive_grant(
        &mut self,
        from: usize,
        index: usize,
        ask: u64,
        tokens: f64,
        short_for: Duration,
    ) {
        let now = self.local(index);
        let node = &mut self.nodes[index];
        let is_open = |open: &&OpenAsk| open.id == ask && open.asked == from;
        let Some(open) = node.ask.as_ref().filter(is_open) else {
            return;
        };
        let sent_at = open.sent_at;
        self.record_answer(index, from, true);
        let node = &mut self.nodes[index];
        node.ask = None;
        let hand = &mut node.hand;
        hand.add(now, sent_at, tokens as u32, short_for, &RULES);
        while !node.waiting.is_empty() && hand.take(now).is_some() {
            node.waiting.remove(0);
            self.admitted.push(self.now);
        }
        if !hand.can_ask(now) {
            let refused = std::mem::take(&mut node.waiting);
            for _ in refused {
                self.refuse(index);
            }
        } else if !node.waiting.is_empty() {
            self.start_ask(index);
        }
    }
}
