//! Proofs that the document in force was the newest one a short time ago.
//!
//! A key that a newer document took away must stop working within a bound, also at a node that hears of
//! nothing any more. So a node acts on keys only as long as it has such a proof: a read of the store that
//! it has made itself, or that of another node, with its age. Ages count from the start of a read, and on
//! the clock that counted more: one stops while the machine is suspended.
//!
//! A proof for one version also holds for a newer one, which was published after it. So it needs no
//! change when a document comes into force, and is of no use to a node with an older document.

use lagoonshore_state::{data_type, ids::DocumentVersion};
use std::time::Duration;
use tokio::time::Instant;

/// Part of the bound after which a node asks others for a newer proof.
const ASK_SHARE: f64 = 0.5;
/// Part of the bound within which watchers of the store read it again.
const READ_SHARE: f64 = 0.2;
/// Pause between two questions to other nodes, as a part of the bound.
const PAUSE_SHARE: f64 = 0.06;
/// Events in the response to a watch from which on it may hold only a part of the changes.
const COMPLETE_EVENTS_MAX: usize = 250;
/// Shortest and longest `Retry-After` of a request that was refused for want of a proof.
const RETRY_TIMES: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(2)];

/// `ClockReading` holds the time of two clocks, read together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time of the runtime, which may stop while the machine is suspended.
    pub runtime: Instant,
    /// Time since the machine was started, suspensions included.
    pub since_boot: Duration,
}

impl ClockReading {
    /// Longest time that may have passed since `earlier`.
    #[must_use]
    pub fn longest_since(self, earlier: Self) -> Duration {
        let [runtime, boot] = self.elapsed_since(earlier);
        runtime.max(boot)
    }

    /// Shortest time that may have passed since `earlier`.
    #[must_use]
    pub fn shortest_since(self, earlier: Self) -> Duration {
        let [runtime, boot] = self.elapsed_since(earlier);
        runtime.min(boot)
    }

    fn elapsed_since(self, earlier: Self) -> [Duration; 2] {
        [
            self.runtime.saturating_duration_since(earlier.runtime),
            self.since_boot.saturating_sub(earlier.since_boot),
        ]
    }
}

data_type! {
    /// `ProofReport` is the proof of one node, as told to another.
    #[derive(Copy, Eq)]
    pub struct ProofReport {
        /// Version of the document that was the newest.
        pub version: DocumentVersion,
        /// Time since then, when the report was made.
        pub age: Duration,
    }
}

/// `ProofBounds` are the times by which a proof is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProofBounds {
    /// Time after which a key that was taken away must not work.
    pub revocation: Duration,
    /// Time after which a newer document is in force at a node that can read it.
    pub apply: Duration,
}

/// `DocumentFreshness` says what a node may conclude from the document in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentFreshness {
    /// It is the newest one, as far as any node has to know.
    Current,
    /// What it allows is allowed, but a newer one may allow more.
    Aging,
    /// It may have been replaced too long ago to say anything of a key.
    Stale,
}

impl DocumentFreshness {
    /// Word that stands for it on pages for operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Aging => "aging",
            Self::Stale => "stale",
        }
    }
}

impl ProofBounds {
    /// Judges a document whose proof is `age` old; `None` without a proof.
    #[must_use]
    pub fn judge(&self, age: Option<Duration>) -> DocumentFreshness {
        match age {
            Some(age) if age <= self.apply.min(self.revocation) => DocumentFreshness::Current,
            Some(age) if age <= self.revocation => DocumentFreshness::Aging,
            _ => DocumentFreshness::Stale,
        }
    }

    /// Age from which on a node asks others for a newer proof.
    #[must_use]
    pub fn ask_age(&self) -> Duration {
        self.revocation.mul_f64(ASK_SHARE)
    }

    /// Mean pause between two questions to other nodes.
    #[must_use]
    pub fn ask_pause(&self) -> Duration {
        self.revocation.mul_f64(PAUSE_SHARE)
    }

    /// Longest wait of the watches that others depend on.
    #[must_use]
    pub fn watch_wait(&self) -> Duration {
        self.revocation.mul_f64(READ_SHARE)
    }

    /// Time after which a refused caller may return. Nobody knows when a proof arrives: the longer it
    /// has been missing, the longer it may take.
    #[must_use]
    pub fn retry_after(&self, age: Option<Duration>) -> Duration {
        let [shortest, longest] = RETRY_TIMES;
        let missing = age.map_or(shortest, |age| age.saturating_sub(self.revocation));
        missing.clamp(shortest, longest)
    }
}

/// Returns whether a response to a watch with `events` changes holds all changes up to its start.
#[must_use]
pub const fn is_complete_watch(events: usize) -> bool {
    events < COMPLETE_EVENTS_MAX
}

#[derive(Clone, Copy, Debug)]
struct HeldProof {
    at: ClockReading,
    /// Age at that reading.
    age: Duration,
}

impl HeldProof {
    fn age(&self, now: ClockReading) -> Duration {
        self.age + now.longest_since(self.at)
    }
}

/// `ProofKeeper` keeps the newest proof of a node.
#[derive(Debug, Default)]
pub struct ProofKeeper {
    held: Option<HeldProof>,
}

impl ProofKeeper {
    /// Records a read of the store that began at `started`, and after which the newest document was in
    /// force; returns whether the proof is newer than the one held.
    pub fn record_read(&mut self, now: ClockReading, started: ClockReading) -> bool {
        let age = Duration::ZERO;
        self.keep_newer(now, HeldProof { at: started, age })
    }

    /// Records the report of a node that was called at `called` and made it after `held` at least; returns
    /// whether the proof is newer than the one held. `version` is that of the document in force.
    pub fn record_report(
        &mut self,
        now: ClockReading,
        called: ClockReading,
        held: Duration,
        report: ProofReport,
        version: DocumentVersion,
    ) -> bool {
        if report.version > version {
            return false;
        }
        let on_the_way = now.longest_since(called).saturating_sub(held);
        let age = report.age + on_the_way;
        self.keep_newer(now, HeldProof { at: now, age })
    }

    /// Age of the proof; `None` if there is none.
    #[must_use]
    pub fn age(&self, now: ClockReading) -> Option<Duration> {
        self.held.map(|held| held.age(now))
    }

    fn keep_newer(&mut self, now: ClockReading, proof: HeldProof) -> bool {
        let is_newer = self.held.is_none_or(|held| proof.age(now) < held.age(now));
        if is_newer {
            self.held = Some(proof);
        }
        is_newer
    }
}
