//! Checks that no request is refused for overload while a less important one is admitted after it
//! or stays queued. Requests of a lane at its bound contend with their lane only.

use lagoonshore_coordination::{
    admission::admission_control::{AdmissionDecision, AdmissionRequest, QueueChange},
    request::outcome::RefusalReason,
};
use lagoonshore_state::{ids::LaneName, queue::EntryKey, units::RequestImportance};
use std::collections::BTreeMap;
use tokio::time::Instant;

type WaitingWork = (RequestImportance, LaneName);

/// `OverloadChecker` follows the events of one admission control.
#[derive(Debug, Default)]
pub struct OverloadChecker {
    waiting: BTreeMap<EntryKey, WaitingWork>,
    refused: Vec<WaitingWork>,
    instant: Option<Instant>,
    /// Requests refused for overload so far.
    pub refusals: u32,
}

impl OverloadChecker {
    /// Checks the outcome of an offer.
    pub fn check_offer(
        &mut self,
        now: Instant,
        offer: &AdmissionRequest,
        verdict: AdmissionDecision,
        change: &QueueChange,
    ) {
        self.change(now, change);
        let work = (offer.importance, offer.lane.clone());
        match verdict {
            AdmissionDecision::Admitted => self.admitted(&work),
            AdmissionDecision::Queued(key) => {
                self.waiting.insert(key, work);
            }
            AdmissionDecision::Refused(RefusalReason::Overload) => {
                self.refused.push(work);
                self.refusals += 1;
            }
            AdmissionDecision::Refused(_) => {}
        }
        self.check_waiting();
    }

    /// Checks what a freed slot changed; earlier refusals no longer bind it.
    pub fn check_release(&mut self, now: Instant, change: &QueueChange) {
        self.refused.clear();
        self.change(now, change);
        self.check_waiting();
    }

    /// Forgets an entry whose caller left.
    pub fn abandoned(&mut self, key: EntryKey) {
        self.waiting.remove(&key);
    }

    fn change(&mut self, now: Instant, change: &QueueChange) {
        if self.instant != Some(now) {
            self.refused.clear();
            self.instant = Some(now);
        }
        for (key, reason) in &change.refused {
            let work = self.waiting.remove(key).expect("a known entry");
            if *reason == RefusalReason::Overload {
                self.refused.push(work);
                self.refusals += 1;
            }
        }
        for entry in &change.admitted {
            let (importance, _) = self.waiting.remove(&entry.key).expect("a known entry");
            let work = (importance, entry.lane.clone());
            self.admitted(&work);
        }
    }

    fn admitted(&self, work: &WaitingWork) {
        for refused in self.refused.iter().filter(|refused| refused.1 == work.1) {
            assert!(
                !refused.0.outranks(work.0),
                "{refused:?} refused, {work:?} admitted after it"
            );
        }
    }

    fn check_waiting(&self) {
        for refused in &self.refused {
            let less = self
                .waiting
                .values()
                .find(|work| refused.0.outranks(work.0));
            assert!(less.is_none(), "{refused:?} refused, {less:?} stays queued");
        }
    }
}
