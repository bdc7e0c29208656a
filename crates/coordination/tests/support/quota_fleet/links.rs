//! Messages between nodes, and the links that lose, delay and double them.

use super::{QuotaFleet, RULES, asks::OpenAsk};

use rand::Rng;
use std::time::Duration;
use tokio::time::Instant;

#[derive(Clone, Copy, Debug)]
pub(super) enum Message {
    Ask {
        ask: u64,
        wanted: f64,
    },
    NotCounter {
        ask: u64,
    },
    Grant {
        ask: u64,
        tokens: f64,
        short_for: Duration,
    },
    LoanAsk {
        loan: u64,
        wanted: f64,
    },
    Loan {
        loan: u64,
        tokens: f64,
    },
}

pub(super) struct Envelope {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) message: Message,
}

impl QuotaFleet {
    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        if from == to {
            let envelope = Envelope { from, to, message };
            self.post(self.now, envelope);
            return;
        }
        self.messages += 1;
        if self.random.random_bool(self.faults.lost) {
            return;
        }
        let copies = 1 + u32::from(self.random.random_bool(self.faults.doubled));
        for _ in 0..copies {
            let is_same_zone = self.nodes[from].zone == self.nodes[to].zone;
            let mut delay = if is_same_zone { 0.3 } else { 0.8 };
            if self.random.random_bool(self.faults.late) {
                delay += self.random.random_range(0.0..300.0);
            }
            let at = self.now + Duration::from_secs_f64(delay / 1000.0);
            self.post(at, Envelope { from, to, message });
        }
    }

    pub(super) fn post(&mut self, at: Instant, envelope: Envelope) {
        self.serial += 1;
        self.mail.insert((at, self.serial), envelope);
    }

    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.views.first_entry()
            && entry.key().0 <= self.now
        {
            let (node, listed) = entry.remove();
            if !self.nodes[node].is_down && self.nodes[node].cut_since.is_none() {
                self.apply_view(node, &listed);
            }
        }
        while let Some(entry) = self.quotas.first_entry()
            && entry.key().0 <= self.now
        {
            let (node, quota) = entry.remove();
            self.nodes[node].quota = quota;
        }
        while let Some(entry) = self.mail.first_entry()
            && entry.key().0 <= self.now
        {
            let envelope = entry.remove();
            let Envelope { from, to, message } = envelope;
            let is_cut = self.groups[from] != self.groups[to];
            if is_cut || self.nodes[to].is_down {
                continue;
            }
            self.receive(from, to, message);
        }
    }

    pub(super) fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = self.local(to);
        match message {
            Message::Ask { ask, wanted } => {
                self.hear_zones(to, from);
                self.receive_ask(from, to, ask, wanted);
            }
            Message::NotCounter { ask } => {
                let is_open = |open: &OpenAsk| open.id == ask && open.asked == from;
                if self.nodes[to].ask.as_ref().is_some_and(is_open) {
                    self.record_answer(to, from, true);
                    self.ask_next(to);
                }
            }
            Message::Grant {
                ask,
                tokens,
                short_for,
            } => self.receive_grant(from, to, ask, tokens, short_for),
            Message::LoanAsk { loan, wanted } => {
                self.hear_zones(to, from);
                self.check_stand_in(to);
                let tokens = if self.open_counter(to) {
                    let counter = self.nodes[to].counter.as_mut().expect("opened");
                    counter.lend(now, wanted, &RULES)
                } else {
                    0.0
                };
                self.send(to, from, Message::Loan { loan, tokens });
            }
            Message::Loan { loan, tokens } => {
                let Some(open) = self.nodes[to].loan.as_mut() else {
                    return;
                };
                if open.id != loan {
                    return;
                }
                open.got += tokens;
                self.ask_for_loan(to);
            }
        }
    }
}
