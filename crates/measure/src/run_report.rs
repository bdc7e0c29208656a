//! The parts of the stand-ins' JSON reports that the measures use.

use serde::Deserialize;

/// `RunReport` is the report of one run of the caller stand-in.
#[derive(Clone, Debug, Deserialize)]
pub struct RunReport {
    /// Length of a tick, in milliseconds.
    pub tick_ms: u64,
    /// Counts per kind of request.
    pub kinds: Vec<KindCounts>,
    /// Totals of all upstreams.
    pub work: WorkCounts,
    /// Violated invariants, one message each.
    pub faults: Vec<String>,
}

/// `KindCounts` holds the counts of one kind of request in the offered traffic.
#[derive(Clone, Debug, Deserialize)]
pub struct KindCounts {
    /// Name of the kind in the deployment.
    pub name: String,
    /// Requests that were started.
    pub offered: u64,
    /// Requests that got a whole response: complete, with all nested responses, and their own.
    pub whole: u64,
    /// 99th percentile of the time to a whole response, retries included, in microseconds.
    pub p99_us: u64,
    /// Counts per tick, from the start of the run.
    pub ticks: Vec<TickCounts>,
}

/// `TickCounts` holds the counts of one tick.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct TickCounts {
    /// Requests that started in the tick.
    pub offered: u64,
    /// Requests that got a whole response in the tick.
    pub whole: u64,
    /// Requests that started in the tick and got a whole response, then or later.
    pub answered: u64,
}

/// `WorkCounts` holds the work of all upstreams in one run.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct WorkCounts {
    /// Times that an upstream ran a request.
    pub runs: u64,
    /// Time worked, in microseconds.
    pub busy_us: u64,
    /// Time worked on requests whose caller got no whole response, in microseconds.
    pub wasted_us: u64,
}

/// `PairedReport` compares the latency of calls made directly with that of calls through nodes.
#[derive(Clone, Debug, Deserialize)]
pub struct PairedReport {
    /// The compared quantiles.
    pub quantiles: Vec<PairedQuantile>,
}

/// `PairedQuantile` is the difference of the two latencies at one quantile.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct PairedQuantile {
    /// The quantile, between 0 and 1.
    pub quantile: f64,
    /// Time added by the nodes, in microseconds; noise can make it negative.
    pub added_us: i64,
}

impl RunReport {
    /// Finds a kind by name; `None` if the run did not offer it.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&KindCounts> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Sum of the counts of all kinds in the tick with the index `tick`.
    #[must_use]
    pub fn tick(&self, tick: usize) -> TickCounts {
        let ticks = self.kinds.iter().filter_map(|kind| kind.ticks.get(tick));
        ticks.fold(TickCounts::default(), |sum, tick| TickCounts {
            offered: sum.offered + tick.offered,
            whole: sum.whole + tick.whole,
            answered: sum.answered + tick.answered,
        })
    }

    /// Index of the tick that covers the time `seconds` after the start of the run.
    #[must_use]
    pub fn tick_at(&self, seconds: u64) -> usize {
        usize::try_from(seconds * 1000 / self.tick_ms).unwrap_or(usize::MAX)
    }

    /// Largest number of ticks of any kind.
    #[must_use]
    pub fn tick_count(&self) -> usize {
        self.kinds
            .iter()
            .map(|kind| kind.ticks.len())
            .max()
            .unwrap_or(0)
    }
}
