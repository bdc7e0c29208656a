//! Groups lost connections into crashes of the upstream, so that one crash counts once per request.

use crate::protection::fingerprint::RequestFingerprint;

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Losses within this time of the first belong to the same crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time for which an abandoned request may still crash the upstream.
pub const ABANDONED_TIME: Duration = Duration::from_secs(5);
/// Maximum number of abandoned requests that are kept.
pub const ABANDONED_MAX: usize = 256;
/// Minimum number of losses that prove a crash on their own, if every request in progress was lost.
const LOSSES_PROVING_CRASH: u32 = 2;

/// `ReconnectResult` is the result of a connection attempt to the upstream after a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReconnectResult {
    /// The upstream refused the connection.
    Refused,
    /// The upstream accepted the connection.
    Accepted,
}

/// `CrashDetector` attributes lost and abandoned requests to crashes of the upstream.
#[derive(Debug, Default)]
pub struct CrashDetector {
    in_progress: u32,
    crash_number: u32,
    first_loss: Option<Instant>,
    lost: u32,
    counted: BTreeSet<RequestFingerprint>,
    abandoned: VecDeque<(Instant, RequestFingerprint)>,
}

impl CrashDetector {
    /// Records that a request was dispatched.
    pub const fn record_dispatch(&mut self) {
        self.in_progress += 1;
    }

    /// Records a complete response: the upstream runs, so a later loss belongs to another crash.
    pub const fn record_response(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.first_loss = None;
    }

    /// Records that the connection of a request broke.
    pub fn record_loss(&mut self, now: Instant) {
        self.in_progress = self.in_progress.saturating_sub(1);
        self.update_crash_window(now);
        self.lost += 1;
    }

    /// Records that a dispatched request did not reach the upstream.
    pub const fn record_undelivered(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Records that a request was abandoned, because its deadline passed or its caller
    /// disconnected, while the upstream may still be running it.
    pub fn record_abandoned(&mut self, now: Instant, fingerprint: RequestFingerprint) {
        self.in_progress = self.in_progress.saturating_sub(1);
        if self.abandoned.len() >= ABANDONED_MAX {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back((now, fingerprint));
    }

    /// Returns `true` if the upstream crashed and the lost request is not counted for this crash
    /// yet; marks it as counted.
    pub fn count_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        result: ReconnectResult,
    ) -> bool {
        let all_lost = self.lost >= LOSSES_PROVING_CRASH && self.in_progress == 0;
        let crashed = result == ReconnectResult::Refused || all_lost;
        crashed && self.counted.insert(fingerprint)
    }

    /// Number of the latest crash, which tells it apart from earlier ones.
    #[must_use]
    pub const fn crash_number(&self) -> u32 {
        self.crash_number
    }

    /// Removes all abandoned requests and returns the recent ones that are not counted for this
    /// crash yet; marks them as counted. Called when the upstream is found to be down.
    pub fn take_abandoned(&mut self, now: Instant) -> Vec<RequestFingerprint> {
        self.update_crash_window(now);
        let is_recent =
            |(at, _): &(Instant, _)| now.saturating_duration_since(*at) < ABANDONED_TIME;
        let abandoned = std::mem::take(&mut self.abandoned);
        let recent = abandoned.into_iter().filter(is_recent);
        recent
            .map(|(_, fingerprint)| fingerprint)
            .filter(|fingerprint| self.counted.insert(*fingerprint))
            .collect()
    }

    fn update_crash_window(&mut self, now: Instant) {
        let is_same = self
            .first_loss
            .is_some_and(|started| now.saturating_duration_since(started) < CRASH_WINDOW);
        if !is_same {
            self.crash_number = self.crash_number.wrapping_add(1);
            self.first_loss = Some(now);
            self.lost = 0;
            self.counted.clear();
        }
    }
}
