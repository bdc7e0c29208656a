//! What became of the offered requests, and the table that shows it.

use crate::deployment::TrafficPlan;

use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::Duration,
};
use tokio::time::Instant;

/// Largest latency that the histograms hold, in microseconds.
pub const LATENCY_MAX_US: u64 = 120_000_000;

/// `RequestEnd` is what a caller saw in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A whole answer to its own request.
    Whole,
    /// The upstream answered with an error status.
    Failed(u16),
    /// Refused as not run, with the reason.
    Refused(String),
    /// The outcome is unknown, with the reason.
    Unknown(String),
    /// An answer that was not whole, or not its own.
    Torn,
}

impl RequestEnd {
    /// Joins an earlier try with a later one: once unknown, a refusal does not make it not run.
    #[must_use]
    pub fn followed_by(self, latest: Self) -> Self {
        match (&self, &latest) {
            (Self::Unknown(_), Self::Refused(_)) => self,
            _ => latest,
        }
    }

    /// Tells whether the request may have run.
    pub const fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Tells whether the caller may send the request again.
    pub const fn may_repeat(&self, idempotent: bool) -> bool {
        match self {
            // A request whose outcome is unknown is sent again under its key.
            Self::Refused(_) | Self::Unknown(_) => true,
            Self::Failed(_) => idempotent,
            Self::Whole | Self::Torn => false,
        }
    }
}

struct KindReport {
    name: String,
    importance: u8,
    offered: u64,
    whole: u64,
    failed: u64,
    torn: u64,
    refused: BTreeMap<String, u64>,
    unknown: BTreeMap<String, u64>,
    latency: Histogram<u64>,
    ticks: Vec<TrafficTick>,
}

impl KindReport {
    /// The tick at `age` after the start of the report.
    fn tick(&mut self, age: Duration) -> &mut TrafficTick {
        let tick = age.as_millis() / u128::from(TICK_MS);
        let tick = usize::try_from(tick).unwrap_or(usize::MAX);
        if self.ticks.len() <= tick {
            self.ticks.resize(tick + 1, TrafficTick::default());
        }
        &mut self.ticks[tick]
    }

    fn summary(&self) -> KindSummary<'_> {
        KindSummary {
            name: &self.name,
            importance: self.importance,
            offered: self.offered,
            whole: self.whole,
            failed: self.failed,
            torn: self.torn,
            refused: &self.refused,
            unknown: &self.unknown,
            p50_us: self.latency.value_at_quantile(0.5),
            p99_us: self.latency.value_at_quantile(0.99),
            ticks: &self.ticks,
        }
    }
}

/// Length of one tick, in milliseconds.
const TICK_MS: u64 = 500;

/// `TrafficTick` counts one tick of one kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TrafficTick {
    /// Requests that started in the tick.
    pub offered: u64,
    /// Requests that ended with a whole answer in the tick.
    pub whole: u64,
    /// Requests that started in the tick and ended with a whole answer, whenever that was.
    pub answered: u64,
}

/// `UpstreamWork` is what the upstreams spent on the offered requests.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct UpstreamWork {
    /// Runs at all upstreams.
    pub runs: u64,
    /// Time worked, in microseconds.
    pub busy_us: u64,
    /// Time worked on requests that did not end with a whole answer, in microseconds.
    pub wasted_us: u64,
}

#[derive(Serialize)]
struct KindSummary<'a> {
    name: &'a str,
    importance: u8,
    offered: u64,
    whole: u64,
    failed: u64,
    torn: u64,
    refused: &'a BTreeMap<String, u64>,
    unknown: &'a BTreeMap<String, u64>,
    p50_us: u64,
    p99_us: u64,
    ticks: &'a [TrafficTick],
}

#[derive(Serialize)]
struct ReportSummary<'a> {
    tick_ms: u64,
    kinds: Vec<KindSummary<'a>>,
    work: UpstreamWork,
    keys_run: usize,
    faults: Vec<String>,
}

/// `TrafficReport` counts the ends of requests by kind.
pub struct TrafficReport {
    kinds: Vec<KindReport>,
    not_run: BTreeSet<String>,
    whole: BTreeSet<String>,
    resent: u64,
    recovered: u64,
    shown: (u64, u64),
    started: Instant,
}

impl TrafficReport {
    /// Creates an empty report.
    pub fn new(traffic: &[TrafficPlan]) -> Self {
        let kind = |plan: &TrafficPlan| KindReport {
            name: plan.name.to_string(),
            importance: plan.importance,
            offered: 0,
            whole: 0,
            failed: 0,
            torn: 0,
            refused: BTreeMap::new(),
            unknown: BTreeMap::new(),
            latency: Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constant and valid")),
            ticks: Vec::new(),
        };
        Self {
            kinds: traffic.iter().map(kind).collect(),
            not_run: BTreeSet::new(),
            whole: BTreeSet::new(),
            resent: 0,
            recovered: 0,
            shown: (0, 0),
            started: Instant::now(),
        }
    }

    /// Counts an offered request.
    pub fn offered(&mut self, kind: usize) {
        let kind = &mut self.kinds[kind];
        kind.offered += 1;
        kind.tick(self.started.elapsed()).offered += 1;
    }

    /// Counts an ended request.
    pub fn ended(&mut self, kind: usize, tag: &str, end: RequestEnd, latency: Duration) {
        let kind = &mut self.kinds[kind];
        match end {
            RequestEnd::Whole => {
                kind.whole += 1;
                let age = self.started.elapsed();
                kind.tick(age).whole += 1;
                kind.tick(age.saturating_sub(latency)).answered += 1;
                self.whole.insert(tag.to_owned());
                kind.latency
                    .saturating_record(latency.as_micros().try_into().unwrap_or(u64::MAX));
            }
            RequestEnd::Failed(_) => kind.failed += 1,
            RequestEnd::Torn => kind.torn += 1,
            RequestEnd::Refused(reason) => *kind.refused.entry(reason).or_default() += 1,
            RequestEnd::Unknown(reason) => *kind.unknown.entry(reason).or_default() += 1,
        }
    }

    /// Notes a key that was refused as not run and is given up.
    pub fn given_up(&mut self, key: String) {
        self.not_run.insert(key);
    }

    /// Notes that a request was sent again under the key that may have run, and whether that
    /// brought its whole answer.
    pub const fn resent(&mut self, is_whole: bool) {
        self.resent += 1;
        self.recovered += is_whole as u64;
    }

    /// One line of progress: what was offered and answered whole since the last line.
    pub fn progress(&mut self) -> String {
        let offered = self.kinds.iter().map(|kind| kind.offered).sum();
        let whole = self.kinds.iter().map(|kind| kind.whole).sum();
        let (offered_before, whole_before) = std::mem::replace(&mut self.shown, (offered, whole));
        format!(
            "offered {:>6}  whole {:>6}",
            offered - offered_before,
            whole - whole_before
        )
    }

    /// Tells whether the request with `tag` ended with a whole answer.
    pub fn is_whole(&self, tag: &str) -> bool {
        self.whole.contains(tag)
    }

    /// Everything that was counted, as JSON for programs.
    pub fn json(&self, runs: &BTreeMap<String, u64>, work: UpstreamWork) -> String {
        let summary = ReportSummary {
            tick_ms: TICK_MS,
            kinds: self.kinds.iter().map(KindReport::summary).collect(),
            work,
            keys_run: runs.len(),
            faults: self.faults(runs),
        };
        serde_json::to_string_pretty(&summary).unwrap_or_default()
    }

    /// Broken invariants, one line each.
    pub fn faults(&self, runs: &BTreeMap<String, u64>) -> Vec<String> {
        let mut faults = Vec::new();
        for (run, count) in runs.iter().filter(|(_, count)| **count > 1) {
            faults.push(format!("double run: {run} ran {count} times"));
        }
        for run in runs.keys() {
            let key = run.split(' ').nth(1).unwrap_or_default();
            if self.not_run.contains(key) {
                faults.push(format!("false not-run: {run} was refused as not run"));
            }
        }
        for kind in self.kinds.iter().filter(|kind| kind.torn > 0) {
            faults.push(format!("torn answers: {} of {}", kind.torn, kind.name));
        }
        faults
    }

    /// The table for people.
    pub fn table(&self, runs: &BTreeMap<String, u64>) -> String {
        let mut text = format!(
            "\n{:<14} {:>3} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}\n",
            "request",
            "imp",
            "offered",
            "whole",
            "refused",
            "failed",
            "unknown",
            "p50 ms",
            "p99 ms"
        );
        for kind in &self.kinds {
            let millis = |quantile| micros_to_millis(kind.latency.value_at_quantile(quantile));
            let _ = writeln!(
                text,
                "{:<14} {:>3} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
                kind.name,
                kind.importance,
                kind.offered,
                kind.whole,
                kind.refused.values().sum::<u64>(),
                kind.failed,
                kind.unknown.values().sum::<u64>(),
                millis(0.5),
                millis(0.99),
            );
        }
        text.push_str("\nrefused and unknown, by importance and reason\n");
        for kind in &self.kinds {
            for (reason, count) in kind.refused.iter().chain(&kind.unknown) {
                let _ = writeln!(
                    text,
                    "  {} {:<14} {reason:<22} {count:>8}",
                    kind.importance, kind.name
                );
            }
        }
        let faults = self.faults(runs);
        let doubles = runs.values().filter(|count| **count > 1).count();
        let _ = writeln!(text, "\nkeys run {}, double runs {doubles}", runs.len());
        let _ = writeln!(
            text,
            "sent again under the same key after unknown: {}, whole answers by that: {}",
            self.resent, self.recovered
        );
        for fault in &faults {
            let _ = writeln!(text, "BROKEN {fault}");
        }
        text.push_str(if faults.is_empty() {
            "every invariant held\n"
        } else {
            ""
        });
        text
    }
}

fn micros_to_millis(micros: u64) -> String {
    format!("{}.{:02}", micros / 1000, micros % 1000 / 10)
}
