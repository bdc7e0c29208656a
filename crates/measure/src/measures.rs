//! The measures: how each is worked out of reports, and its target.

use crate::{
    error::Result,
    run_report::{PairedReport, RunReport},
    run_set::{ControlMode, RunSet},
};

/// Whole requests a second that the deployment of the measures can serve: 3 upstreams with 10 slots
/// and 100 ms of work.
const CAPACITY_PER_SECOND: f64 = 300.0;
/// Start of the surge in the overload and crest runs, in seconds.
const SURGE_START: u64 = 10;
/// End of the surge in the overload runs, in seconds.
const OVERLOAD_END: u64 = 40;
/// End of the surge in the crest runs, in seconds.
const CREST_END: u64 = 15;
/// Share of requests that must be answered whole to count as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Upstream runs of one request that is answered at the first try.
const RUNS_PER_REQUEST: f64 = 4.0;

/// `MeasureTarget` is the bound that a value is held against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MeasureTarget {
    /// The value must be at least this.
    AtLeast(f64),
    /// The value must be at most this.
    AtMost(f64),
    /// The value is reported without a target.
    Reported,
}

/// `MeasureRow` is one row of the table: its values over the seeds.
#[derive(Clone, Debug)]
pub struct MeasureRow {
    /// What is measured.
    pub title: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Target.
    pub target: MeasureTarget,
    /// Values with the decisions in force, one a seed.
    pub enforce: Vec<f64>,
    /// Values of the baseline, one a seed.
    pub baseline: Vec<f64>,
}

impl MeasureTarget {
    /// Tells whether every value keeps the target; `None` if there is no target or no value.
    #[must_use]
    pub fn is_met(self, values: &[f64]) -> Option<bool> {
        match self {
            _ if values.is_empty() => None,
            Self::AtLeast(bound) => Some(values.iter().all(|value| *value >= bound)),
            Self::AtMost(bound) => Some(values.iter().all(|value| *value <= bound)),
            Self::Reported => None,
        }
    }
}

type RunMeasure = fn(&RunReport) -> Option<f64>;

/// Works out every row.
///
/// # Errors
/// Names the report that cannot be read.
pub fn rows(runs: &RunSet) -> Result<Vec<MeasureRow>> {
    use MeasureTarget::{AtLeast, AtMost, Reported};
    let single: [(&'static str, &'static str, MeasureTarget, &str, RunMeasure); 7] = [
        (
            "goodput at 3 times capacity for 30 s",
            "% of capacity",
            AtLeast(90.0),
            "overload",
            goodput,
        ),
        (
            "recovery after the overload",
            "s",
            AtMost(2.0),
            "overload",
            recovery,
        ),
        (
            "important requests whole in the overload",
            "%",
            Reported,
            "overload",
            overload_important,
        ),
        (
            "wasted upstream work in the overload",
            "% of work",
            Reported,
            "overload",
            wasted,
        ),
        (
            "important requests whole at the crest, 10 times",
            "%",
            AtLeast(99.9),
            "crest",
            crest,
        ),
        (
            "recovery after the crest",
            "s",
            AtMost(2.0),
            "crest",
            crest_recovery,
        ),
        (
            "runs beyond one a hop with a straggler",
            "%",
            AtMost(5.0),
            "straggler-slow",
            extra_work,
        ),
    ];
    let mut rows = Vec::new();
    for (title, unit, target, row, measure) in single {
        let values = |mode| -> Result<Vec<f64>> {
            let reports: Vec<RunReport> = runs.reports(row, mode)?;
            Ok(reports.iter().filter_map(measure).collect())
        };
        let (enforce, baseline) = (
            values(ControlMode::Enforce)?,
            values(ControlMode::PassThrough)?,
        );
        rows.push(MeasureRow {
            title,
            unit,
            target,
            enforce,
            baseline,
        });
    }
    let title = "short work: p99 behind a flood of long work";
    rows.push(ratio(runs, title, 1.5, "lanes-flood", "lanes-alone")?);
    let title = "one upstream of three 10 times slow: p99";
    rows.push(ratio(
        runs,
        title,
        2.0,
        "straggler-slow",
        "straggler-alone",
    )?);
    rows.push(added(
        runs,
        "added to a call by two nodes, 320 calls/s, p99",
        0.99,
        AtMost(1.7),
    )?);
    rows.push(added(
        runs,
        "added to a call by two nodes, 320 calls/s, p50",
        0.5,
        Reported,
    )?);
    rows.push(faults(runs)?);
    Ok(rows)
}

fn goodput(run: &RunReport) -> Option<f64> {
    let ticks = run.tick_at(SURGE_START)..run.tick_at(OVERLOAD_END);
    if run.tick_count() < ticks.end {
        return None;
    }
    let whole: u64 = ticks.map(|tick| run.tick(tick).whole).sum();
    let seconds = to_f64(OVERLOAD_END - SURGE_START);
    Some(100.0 * to_f64(whole) / seconds / CAPACITY_PER_SECOND)
}

fn recovery(run: &RunReport) -> Option<f64> {
    recovery_after(run, OVERLOAD_END)
}

fn crest_recovery(run: &RunReport) -> Option<f64> {
    recovery_after(run, CREST_END)
}

/// Seconds from `end` until requests are answered again and stay so for two ticks.
fn recovery_after(run: &RunReport, end: u64) -> Option<f64> {
    let first = run.tick_at(end);
    let is_good = |tick: usize| {
        let counts = run.tick(tick);
        to_f64(counts.answered) >= RECOVERED_SHARE * to_f64(counts.offered)
    };
    let last = run
        .tick_count()
        .checked_sub(2)
        .filter(|last| *last > first)?;
    let recovered = (first..last).find(|tick| is_good(*tick) && is_good(tick + 1));
    let ticks = recovered.unwrap_or(last) - first;
    Some(to_f64(ticks as u64 * run.tick_ms) / 1000.0)
}

fn overload_important(run: &RunReport) -> Option<f64> {
    important_between(run, SURGE_START, OVERLOAD_END)
}

fn crest(run: &RunReport) -> Option<f64> {
    important_between(run, SURGE_START, CREST_END)
}

fn important_between(run: &RunReport, start: u64, end: u64) -> Option<f64> {
    let kind = run.kind("critical")?;
    let ticks = kind
        .ticks
        .get(run.tick_at(start)..run.tick_at(end).min(kind.ticks.len()))?;
    let offered: u64 = ticks.iter().map(|tick| tick.offered).sum();
    let answered: u64 = ticks.iter().map(|tick| tick.answered).sum();
    Some(100.0 * to_f64(answered) / to_f64(offered.max(1)))
}

fn wasted(run: &RunReport) -> Option<f64> {
    let work = run.work;
    (work.busy_us > 0).then(|| 100.0 * to_f64(work.wasted_us) / to_f64(work.busy_us))
}

fn extra_work(run: &RunReport) -> Option<f64> {
    let offered: u64 = run.kinds.iter().map(|kind| kind.offered).sum();
    let needed = to_f64(offered) * RUNS_PER_REQUEST;
    (run.work.runs > 0).then(|| 100.0 * (to_f64(run.work.runs) / needed - 1.0))
}

/// Ratio of the p99 of short work in two rows, seed by seed.
fn ratio(
    runs: &RunSet,
    title: &'static str,
    bound: f64,
    burdened: &str,
    alone: &str,
) -> Result<MeasureRow> {
    let p99 = |row: &str, mode| -> Result<Vec<u64>> {
        let reports: Vec<RunReport> = runs.reports(row, mode)?;
        Ok(reports
            .iter()
            .filter_map(|run| run.kind("short"))
            .map(|kind| kind.p99_us)
            .collect())
    };
    let ratios = |mode| -> Result<Vec<f64>> {
        let pairs = p99(burdened, mode)?.into_iter().zip(p99(alone, mode)?);
        Ok(pairs
            .map(|(burdened, alone)| to_f64(burdened) / to_f64(alone.max(1)))
            .collect())
    };
    let (enforce, baseline) = (
        ratios(ControlMode::Enforce)?,
        ratios(ControlMode::PassThrough)?,
    );
    let target = MeasureTarget::AtMost(bound);
    Ok(MeasureRow {
        title,
        unit: "times alone",
        target,
        enforce,
        baseline,
    })
}

fn added(
    runs: &RunSet,
    title: &'static str,
    quantile: f64,
    target: MeasureTarget,
) -> Result<MeasureRow> {
    let values = |mode| -> Result<Vec<f64>> {
        let reports: Vec<PairedReport> = runs.reports("added", mode)?;
        let found = reports.iter().flat_map(|report| &report.quantiles);
        let found = found.filter(|found| (found.quantile - quantile).abs() < f64::EPSILON);
        Ok(found
            .map(|found| signed_to_f64(found.added_us) / 1000.0)
            .collect())
    };
    let (enforce, baseline) = (
        values(ControlMode::Enforce)?,
        values(ControlMode::PassThrough)?,
    );
    Ok(MeasureRow {
        title,
        unit: "ms",
        target,
        enforce,
        baseline,
    })
}

fn faults(runs: &RunSet) -> Result<MeasureRow> {
    let rows = [
        "overload",
        "crest",
        "lanes-alone",
        "lanes-flood",
        "straggler-alone",
        "straggler-slow",
    ];
    let count = |mode| -> Result<Vec<f64>> {
        let mut counts = Vec::new();
        for row in rows {
            let reports: Vec<RunReport> = runs.reports(row, mode)?;
            counts.extend(reports.iter().map(|run| to_f64(run.faults.len() as u64)));
        }
        Ok(counts)
    };
    let (enforce, baseline) = (
        count(ControlMode::Enforce)?,
        count(ControlMode::PassThrough)?,
    );
    let title = "double runs, false not-run, torn answers, in any run";
    Ok(MeasureRow {
        title,
        unit: "",
        target: MeasureTarget::AtMost(0.0),
        enforce,
        baseline,
    })
}

// Counts of a run stay far below the 2^53 that an f64 holds exactly.
#[allow(clippy::cast_precision_loss)]
const fn to_f64(count: u64) -> f64 {
    count as f64
}

#[allow(clippy::cast_precision_loss)]
const fn signed_to_f64(count: i64) -> f64 {
    count as f64
}
