//! Checks that no request is refused for overload while a less important one is admitted after it
//! or stays queued. Requests of a lane at its limit compete only with requests of the same lane.

use lagoonshore_coordination::{
    admission::admission_control::{AdmissionDecision, AdmissionRequest, QueueChange},
    request::outcome::RefusalReason,
};
use lagoonshore_state::{ids::LaneName, queue::EntryKey, units::RequestImportance};
use std::collections::BTreeMap;
use tokio::time::Instant;

type CheckedRequest = (RequestImportance, LaneName);

/// `OverloadChecker` checks the events of one admission control.
#[derive(Debug, Default)]
pub struct OverloadChecker {
    waiting: BTreeMap<EntryKey, CheckedRequest>,
    refused: Vec<CheckedRequest>,
    instant: Option<Instant>,
    /// Number of requests refused for overload.
    pub refusals: u32,
}

impl OverloadChecker {
    /// Checks the decision on a request.
    pub fn check_offer(
        &mut self,
        now: Instant,
        request: &AdmissionRequest,
        decision: AdmissionDecision,
        change: &QueueChange,
    ) {
        self.check_change(now, change);
        let checked = (request.importance, request.lane.clone());
        match decision {
            AdmissionDecision::Admitted => self.check_admitted(&checked),
            AdmissionDecision::Queued(key) => {
                self.waiting.insert(key, checked);
            }
            AdmissionDecision::Refused(RefusalReason::Overload) => {
                self.refused.push(checked);
                self.refusals += 1;
            }
            AdmissionDecision::Refused(_) => {}
        }
        self.check_waiting();
    }

    /// Checks the changes after a slot was released, which makes earlier refusals irrelevant.
    pub fn check_release(&mut self, now: Instant, change: &QueueChange) {
        self.refused.clear();
        self.check_change(now, change);
        self.check_waiting();
    }

    /// Removes an entry whose caller has left.
    pub fn remove_entry(&mut self, key: EntryKey) {
        self.waiting.remove(&key);
    }

    fn check_change(&mut self, now: Instant, change: &QueueChange) {
        if self.instant != Some(now) {
            self.refused.clear();
            self.instant = Some(now);
        }
        for (key, reason) in &change.refused {
            let checked = self.waiting.remove(key).expect("the entry must be queued");
            if *reason == RefusalReason::Overload {
                self.refused.push(checked);
                self.refusals += 1;
            }
        }
        for entry in &change.admitted {
            let (importance, _) = self
                .waiting
                .remove(&entry.key)
                .expect("the entry must be queued");
            let checked = (importance, entry.lane.clone());
            self.check_admitted(&checked);
        }
    }

    fn check_admitted(&self, checked: &CheckedRequest) {
        for refused in self.refused.iter().filter(|refused| refused.1 == checked.1) {
            assert!(
                !refused.0.outranks(checked.0),
                "{refused:?} refused, {checked:?} admitted after it"
            );
        }
    }

    fn check_waiting(&self) {
        for refused in &self.refused {
            let less = self
                .waiting
                .values()
                .find(|checked| refused.0.outranks(checked.0));
            assert!(less.is_none(), "{refused:?} refused, {less:?} stays queued");
        }
    }
}
