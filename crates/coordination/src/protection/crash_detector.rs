//! Tells the crashes of an upstream apart, so that one crash counts once for each request.

use crate::protection::fingerprint::RequestFingerprint;

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Time within which lost connections belong to the same crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time for which a request that was given up may still crash the upstream.
pub const ABANDONED_TIME: Duration = Duration::from_secs(5);
/// Requests given up that are remembered.
pub const ABANDONED_MAX: usize = 256;
/// Lost requests that show a crash by themselves, when every request in progress was lost.
const LOST_TOGETHER_MIN: u32 = 2;

/// `ReconnectResult` is what a connection made after a loss showed of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconnectResult {
    /// The connection was refused.
    Refused,
    /// The upstream took the connection.
    Accepted,
}

/// `CrashDetector` groups lost requests into crashes of the upstream.
#[derive(Debug, Default)]
pub struct CrashDetector {
    in_progress: u32,
    started: Option<Instant>,
    lost: u32,
    counted: BTreeSet<RequestFingerprint>,
    lingering: VecDeque<(Instant, RequestFingerprint)>,
}

impl CrashDetector {
    /// Notes a hand-over.
    pub const fn record_dispatch(&mut self) {
        self.in_progress += 1;
    }

    /// Notes a whole answer: the upstream is alive, and a later loss is another crash.
    pub const fn record_response(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.started = None;
    }

    /// Notes that the connection of a request broke.
    pub fn record_loss(&mut self, now: Instant) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.join_crash(now);
        self.lost += 1;
    }

    /// Notes that the upstream was proved to have received nothing.
    pub const fn record_undelivered(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Notes that a request was given up, by its deadline or its caller, while the upstream may
    /// still be working on it.
    pub fn record_abandoned(&mut self, now: Instant, fingerprint: RequestFingerprint) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if self.lingering.len() >= ABANDONED_MAX {
            self.lingering.pop_front();
        }
        self.lingering.push_back((now, fingerprint));
    }

    /// Judges a lost request: `true` if it must be counted for a crash.
    pub fn count_crash(&mut self, fingerprint: RequestFingerprint, sign: ReconnectResult) -> bool {
        let all_lost = self.lost >= LOST_TOGETHER_MIN && self.in_progress == 0;
        let crashed = sign == ReconnectResult::Refused || all_lost;
        crashed && self.counted.insert(fingerprint)
    }

    /// Takes the requests given up lately: once the upstream is seen to be down, each of them
    /// must be counted.
    pub fn take_abandoned(&mut self, now: Instant) -> Vec<RequestFingerprint> {
        self.join_crash(now);
        let is_late = |(at, _): &(Instant, _)| now.saturating_duration_since(*at) < ABANDONED_TIME;
        let lingering = std::mem::take(&mut self.lingering);
        let late = lingering.into_iter().filter(is_late);
        late.map(|(_, fingerprint)| fingerprint)
            .filter(|fingerprint| self.counted.insert(*fingerprint))
            .collect()
    }

    fn join_crash(&mut self, now: Instant) {
        let is_same = self
            .started
            .is_some_and(|started| now.saturating_duration_since(started) < CRASH_WINDOW);
        if !is_same {
            self.started = Some(now);
            self.lost = 0;
            self.counted.clear();
        }
    }
}
