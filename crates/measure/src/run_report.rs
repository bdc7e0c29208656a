//! Reports that the stand-ins write.

use serde::Deserialize;

/// `RunReport` is the report of one run of the callers.
#[derive(Clone, Debug, Deserialize)]
pub struct RunReport {
    /// Length of a tick, in milliseconds.
    pub tick_ms: u64,
    /// Counts by kind of request.
    pub kinds: Vec<KindCounts>,
    /// What the upstreams spent.
    pub work: WorkCounts,
    /// Broken invariants.
    pub faults: Vec<String>,
}

/// `KindCounts` holds the counts of one kind of request.
#[derive(Clone, Debug, Deserialize)]
pub struct KindCounts {
    /// Name of the kind.
    pub name: String,
    /// Requests offered.
    pub offered: u64,
    /// Whole answers.
    pub whole: u64,
    /// 99th percentile of the time to a whole answer, in microseconds.
    pub p99_us: u64,
    /// Counts by tick.
    pub ticks: Vec<TickCounts>,
}

/// `TickCounts` holds the counts of one tick.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct TickCounts {
    /// Requests that started in the tick.
    pub offered: u64,
    /// Requests that ended whole in the tick.
    pub whole: u64,
    /// Requests that started in the tick and ended whole.
    pub answered: u64,
}

/// `WorkCounts` is what the upstreams spent in one run.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct WorkCounts {
    /// Runs at all upstreams.
    pub runs: u64,
    /// Time worked, in microseconds.
    pub busy_us: u64,
    /// Time worked on requests that did not end whole, in microseconds.
    pub wasted_us: u64,
}

/// `PairedReport` compares calls made directly with calls made through nodes.
#[derive(Clone, Debug, Deserialize)]
pub struct PairedReport {
    /// Quantiles of both ways.
    pub quantiles: Vec<PairedQuantile>,
}

/// `PairedQuantile` is one quantile of both ways.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct PairedQuantile {
    /// The quantile, between 0 and 1.
    pub quantile: f64,
    /// Time added by the nodes, in microseconds; noise can make it negative.
    pub added_us: i64,
}

impl RunReport {
    /// Counts of one kind; `None` if the run offered none of it.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&KindCounts> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Counts of all kinds together in the tick that starts `seconds` after the start.
    #[must_use]
    pub fn tick(&self, tick: usize) -> TickCounts {
        let ticks = self.kinds.iter().filter_map(|kind| kind.ticks.get(tick));
        ticks.fold(TickCounts::default(), |sum, tick| TickCounts {
            offered: sum.offered + tick.offered,
            whole: sum.whole + tick.whole,
            answered: sum.answered + tick.answered,
        })
    }

    /// Tick that covers the time `seconds` after the start.
    #[must_use]
    pub fn tick_at(&self, seconds: u64) -> usize {
        usize::try_from(seconds * 1000 / self.tick_ms).unwrap_or(usize::MAX)
    }

    /// Number of ticks.
    #[must_use]
    pub fn tick_count(&self) -> usize {
        self.kinds
            .iter()
            .map(|kind| kind.ticks.len())
            .max()
            .unwrap_or(0)
    }
}
