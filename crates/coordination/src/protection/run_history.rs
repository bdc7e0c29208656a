//! Requests that recently ran to a complete response on this node.
//!
//! The table has a fixed size: a request takes the place that its fingerprint selects, whatever was
//! there before. A request that is sent often is found again; one that is sent once is soon forgotten,
//! and nothing depends on it.

use super::fingerprint::RequestFingerprint;

use std::time::Duration;
use tokio::time::Instant;

/// Number of places.
const PLACES: u16 = 4096;
/// Time for which a run is remembered.
const RUN_TIME: Duration = Duration::from_mins(1);

/// `RunHistory` holds the time of the latest complete run of each request.
#[derive(Debug, Default)]
pub(crate) struct RunHistory {
    /// Empty until the first run.
    places: Vec<Option<CompleteRun>>,
}

#[derive(Clone, Copy, Debug)]
struct CompleteRun {
    fingerprint: RequestFingerprint,
    at: Instant,
}

impl RunHistory {
    /// Records that a request ran to a complete response.
    pub(crate) fn record(&mut self, now: Instant, fingerprint: RequestFingerprint) {
        if self.places.is_empty() {
            self.places = vec![None; PLACES.into()];
        }
        self.places[place_of(fingerprint)] = Some(CompleteRun {
            fingerprint,
            at: now,
        });
    }

    /// Time of the latest complete run of a request; `None` if it is not remembered.
    pub(crate) fn latest(&self, now: Instant, fingerprint: RequestFingerprint) -> Option<Instant> {
        let run = (*self.places.get(place_of(fingerprint))?)?;
        let age = now.saturating_duration_since(run.at);
        (run.fingerprint == fingerprint && age < RUN_TIME).then_some(run.at)
    }

    /// Forgets the latest complete run of a request; returns whether there was one.
    pub(crate) fn take(&mut self, now: Instant, fingerprint: RequestFingerprint) -> bool {
        let is_known = self.latest(now, fingerprint).is_some();
        if is_known {
            self.places[place_of(fingerprint)] = None;
        }
        is_known
    }
}

fn place_of(fingerprint: RequestFingerprint) -> usize {
    // The remainder is below `PLACES`, so it fits.
    usize::try_from(fingerprint % u64::from(PLACES)).unwrap_or_default()
}
