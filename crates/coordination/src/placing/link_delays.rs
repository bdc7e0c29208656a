//! Delay of the links to other availability zones.

use crate::{age_weights, moving_average::MovingAverage};

use lagoonshore_state::ids::ZoneName;

use std::time::Duration;
use tokio::time::Instant;

/// Weight of a sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Age at which a delay counts as unknown, so that the link is tried again.
const DELAY_TTL: Duration = Duration::from_secs(5);

/// `LinkDelays` holds the mean delay of a request and its reply by zone.
#[derive(Debug, Default)]
pub struct LinkDelays {
    zones: Vec<LinkDelay>,
}

#[derive(Debug)]
struct LinkDelay {
    zone: ZoneName,
    seconds: MovingAverage,
    sampled_at: Instant,
}

impl LinkDelays {
    /// Records the time that a request and its reply spent on the way to and from `zone`.
    pub fn record(&mut self, now: Instant, zone: &ZoneName, delay: Duration) {
        let sample = delay.as_secs_f64();
        if let Some(known) = self.zones.iter_mut().find(|known| known.zone == *zone) {
            known.seconds.record(sample, SAMPLE_WEIGHT);
            known.sampled_at = now;
            return;
        }
        self.zones.push(LinkDelay {
            zone: zone.clone(),
            seconds: MovingAverage::new(sample),
            sampled_at: now,
        });
    }

    /// Returns the delay of the link to `zone` in seconds, which fades to zero as it ages.
    #[must_use]
    pub fn seconds(&self, now: Instant, zone: &str) -> f64 {
        let Some(known) = self.zones.iter().find(|known| known.zone == zone) else {
            return 0.0;
        };
        let age_share = age_weights::age_share(now, known.sampled_at, DELAY_TTL);
        known.seconds.mean() * (1.0 - age_share)
    }
}
