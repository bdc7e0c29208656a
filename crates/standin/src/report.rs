//! Outcomes of the offered requests, as a table and as JSON, with the invariants checked on them.

use crate::deployment::TrafficPlan;

use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::Duration,
};
use tokio::time::Instant;

/// Largest latency that the histograms record, in microseconds; larger ones are recorded as this.
pub const LATENCY_MAX_US: u64 = 120_000_000;

/// `RequestOutcome` is the outcome of an attempt or a request, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response that belongs to the request.
    Whole,
    /// The request ran and the response has this error status.
    Failed(u16),
    /// The request was refused and has not run; with the reason.
    Refused(String),
    /// The request may have run; with the reason why that is unknown.
    Unknown(String),
    /// A response that is incomplete or belongs to another request.
    Torn,
}

impl RequestOutcome {
    /// Combines the outcome of earlier attempts with that of the latest one. A refusal after an
    /// unknown outcome leaves it unknown, because the earlier attempt may have run.
    #[must_use]
    pub fn combine_with(self, latest: Self) -> Self {
        match (&self, &latest) {
            (Self::Unknown(_), Self::Refused(_)) => self,
            _ => latest,
        }
    }

    /// Returns whether the request may have run.
    pub const fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }

    /// Returns whether the caller may retry the request.
    pub const fn can_retry(&self, idempotent: bool) -> bool {
        match self {
            // After an unknown outcome a non-idempotent request is retried under the same key.
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
    /// Returns the tick at `age` after the start of the report; ticks up to it are added.
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

/// Length of a tick, in milliseconds.
const TICK_MS: u64 = 500;

/// `TrafficTick` holds the counts of one kind in one tick.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TrafficTick {
    /// Requests that started in the tick.
    pub offered: u64,
    /// Requests that got a whole response in the tick.
    pub whole: u64,
    /// Requests that started in the tick and got a whole response, then or later.
    pub answered: u64,
}

/// `UpstreamWork` is the work of all upstreams on the offered requests.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct UpstreamWork {
    /// Times that an upstream ran a request.
    pub runs: u64,
    /// Time worked, in microseconds.
    pub busy_us: u64,
    /// Time worked on requests whose caller got no whole response, in microseconds.
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

/// `TrafficReport` counts the outcomes of requests per kind.
pub struct TrafficReport {
    kinds: Vec<KindReport>,
    not_run_keys: BTreeSet<String>,
    whole_tags: BTreeSet<String>,
    key_retries: u64,
    key_retries_whole: u64,
    last_progress: (u64, u64),
    started_at: Instant,
}

impl TrafficReport {
    /// Creates a report with one entry per kind of `traffic`; a kind is its index there. Ticks count
    /// from now.
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
            not_run_keys: BTreeSet::new(),
            whole_tags: BTreeSet::new(),
            key_retries: 0,
            key_retries_whole: 0,
            last_progress: (0, 0),
            started_at: Instant::now(),
        }
    }

    /// Records that a request was started.
    pub fn record_offer(&mut self, kind: usize) {
        let kind = &mut self.kinds[kind];
        kind.offered += 1;
        kind.tick(self.started_at.elapsed()).offered += 1;
    }

    /// Records the final outcome of a request; `latency` counts from its start, retries included.
    pub fn record_outcome(
        &mut self,
        kind: usize,
        tag: &str,
        outcome: RequestOutcome,
        latency: Duration,
    ) {
        let kind = &mut self.kinds[kind];
        match outcome {
            RequestOutcome::Whole => {
                kind.whole += 1;
                let age = self.started_at.elapsed();
                kind.tick(age).whole += 1;
                kind.tick(age.saturating_sub(latency)).answered += 1;
                self.whole_tags.insert(tag.to_owned());
                kind.latency
                    .saturating_record(latency.as_micros().try_into().unwrap_or(u64::MAX));
            }
            RequestOutcome::Failed(_) => kind.failed += 1,
            RequestOutcome::Torn => kind.torn += 1,
            RequestOutcome::Refused(reason) => *kind.refused.entry(reason).or_default() += 1,
            RequestOutcome::Unknown(reason) => *kind.unknown.entry(reason).or_default() += 1,
        }
    }

    /// Records a key whose request was refused as not run and that the caller does not use again. A
    /// run under such a key violates an invariant.
    pub fn record_not_run(&mut self, key: String) {
        self.not_run_keys.insert(key);
    }

    /// Records a retry under the same key after an unknown outcome, and whether it returned a whole
    /// response.
    pub const fn record_key_retry(&mut self, is_whole: bool) {
        self.key_retries += 1;
        self.key_retries_whole += is_whole as u64;
    }

    /// Returns a line with the requests offered and the whole responses since the previous call.
    pub fn take_progress(&mut self) -> String {
        let offered = self.kinds.iter().map(|kind| kind.offered).sum();
        let whole = self.kinds.iter().map(|kind| kind.whole).sum();
        let (offered_before, whole_before) =
            std::mem::replace(&mut self.last_progress, (offered, whole));
        format!(
            "offered {:>6}  whole {:>6}",
            offered - offered_before,
            whole - whole_before
        )
    }

    /// Returns whether the request with `tag` got a whole response.
    pub fn is_whole(&self, tag: &str) -> bool {
        self.whole_tags.contains(tag)
    }

    /// Returns all counts as JSON. `run_counts` has the runs per service and key, `work` the work of
    /// the upstreams.
    pub fn to_json(&self, run_counts: &BTreeMap<String, u64>, work: UpstreamWork) -> String {
        let summary = ReportSummary {
            tick_ms: TICK_MS,
            kinds: self.kinds.iter().map(KindReport::summary).collect(),
            work,
            keys_run: run_counts.len(),
            faults: self.find_violations(run_counts),
        };
        serde_json::to_string_pretty(&summary).unwrap_or_default()
    }

    /// Returns the violated invariants, one message each: a key ran more than once at a service, a
    /// request refused as not run did run, or a response was incomplete or of another request.
    pub fn find_violations(&self, run_counts: &BTreeMap<String, u64>) -> Vec<String> {
        let mut violations = Vec::new();
        for (run, count) in run_counts.iter().filter(|(_, count)| **count > 1) {
            violations.push(format!("double run: {run} ran {count} times"));
        }
        for run in run_counts.keys() {
            let key = run.split(' ').nth(1).unwrap_or_default();
            if self.not_run_keys.contains(key) {
                violations.push(format!("false not-run: {run} was refused as not run"));
            }
        }
        for kind in self.kinds.iter().filter(|kind| kind.torn > 0) {
            violations.push(format!("torn answers: {} of {}", kind.torn, kind.name));
        }
        violations
    }

    /// Renders the table that is printed at the end of a run.
    pub fn render_table(&self, run_counts: &BTreeMap<String, u64>) -> String {
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
        let violations = self.find_violations(run_counts);
        let double_runs = run_counts.values().filter(|count| **count > 1).count();
        let _ = writeln!(
            text,
            "\nkeys run {}, double runs {double_runs}",
            run_counts.len()
        );
        let _ = writeln!(
            text,
            "retries under the same key after an unknown outcome: {}, of these whole: {}",
            self.key_retries, self.key_retries_whole
        );
        for violation in &violations {
            let _ = writeln!(text, "BROKEN {violation}");
        }
        text.push_str(if violations.is_empty() {
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
