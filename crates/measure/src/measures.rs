//! Definition of the measures: how each is computed from the reports, and its target.

use crate::{
    error::Result,
    run_report::{PairedReport, RunReport},
    run_set::{ControlMode, RunSet},
};

/// Whole responses per second that the benchmark deployment can serve: its bottleneck, the service
/// `deep`, has 3 upstreams with 10 slots each and works 100 ms on a request.
const CAPACITY_PER_SECOND: f64 = 300.0;
/// Start of the surge in the runs `overload` and `crest`, in seconds.
const SURGE_START: u64 = 10;
/// End of the surge in the run `overload`, in seconds.
const OVERLOAD_END: u64 = 40;
/// End of the surge in the run `crest`, in seconds.
const CREST_END: u64 = 15;
/// Share of the requests started in a tick that must get a whole response for the tick to count
/// as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Upstream runs that one request causes, over all services that it passes, if no attempt is
/// retried.
const RUNS_PER_REQUEST: f64 = 4.0;

/// `MeasureTarget` is the bound that the values of a measure must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MeasureTarget {
    /// Lower bound, inclusive.
    AtLeast(f64),
    /// Upper bound, inclusive.
    AtMost(f64),
    /// No target; the values are only shown.
    ReportOnly,
}

/// `MeasureRow` is one row of the table, with one value per run, or per pair of runs for a ratio.
#[derive(Clone, Debug)]
pub struct MeasureRow {
    /// Title of the row.
    pub title: &'static str,
    /// Unit of the values; empty for plain counts.
    pub unit: &'static str,
    /// Bound that every value in `enforce` must keep.
    pub target: MeasureTarget,
    /// Values of the runs in [`ControlMode::Enforce`].
    pub enforce: Vec<f64>,
    /// Values of the runs in [`ControlMode::PassThrough`].
    pub baseline: Vec<f64>,
}

impl MeasureTarget {
    /// Returns whether every value keeps the target; `None` if there is no target or no value.
    #[must_use]
    pub fn is_met(self, values: &[f64]) -> Option<bool> {
        match self {
            _ if values.is_empty() => None,
            Self::AtLeast(bound) => Some(values.iter().all(|value| *value >= bound)),
            Self::AtMost(bound) => Some(values.iter().all(|value| *value <= bound)),
            Self::ReportOnly => None,
        }
    }
}

type RunMeasure = fn(&RunReport) -> Option<f64>;

/// Computes all rows; a row without reports has no values.
///
/// # Errors
/// The first file or folder that cannot be read, or file that is not a report.
pub fn compute_rows(runs: &RunSet) -> Result<Vec<MeasureRow>> {
    use MeasureTarget::{AtLeast, AtMost, ReportOnly};
    let single: [(&'static str, &'static str, MeasureTarget, &str, RunMeasure); 7] = [
        (
            "goodput at 3 times capacity for 30 s",
            "% of capacity",
            AtLeast(90.0),
            "overload",
            overload_goodput,
        ),
        (
            "recovery after the overload",
            "s",
            AtMost(2.0),
            "overload",
            overload_recovery,
        ),
        (
            "important requests whole in the overload",
            "%",
            ReportOnly,
            "overload",
            overload_important,
        ),
        (
            "wasted upstream work in the overload",
            "% of work",
            ReportOnly,
            "overload",
            wasted_share,
        ),
        (
            "important requests whole at the crest, 10 times",
            "%",
            AtLeast(99.9),
            "crest",
            crest_important,
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
            extra_run_share,
        ),
    ];
    let mut rows = Vec::new();
    for (title, unit, target, row, measure) in single {
        let values = |mode| -> Result<Vec<f64>> {
            let reports: Vec<RunReport> = runs.read_reports(row, mode)?;
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
    rows.push(ratio_row(runs, title, 1.5, "lanes-flood", "lanes-alone")?);
    let title = "one upstream of three 10 times slow: p99";
    rows.push(ratio_row(
        runs,
        title,
        2.0,
        "straggler-slow",
        "straggler-alone",
    )?);
    rows.push(added_latency_row(
        runs,
        "added to a call by two nodes, 320 calls/s, p99",
        0.99,
        AtMost(1.7),
    )?);
    rows.push(added_latency_row(
        runs,
        "added to a call by two nodes, 320 calls/s, p50",
        0.5,
        ReportOnly,
    )?);
    rows.push(violation_row(runs)?);
    Ok(rows)
}

fn overload_goodput(run: &RunReport) -> Option<f64> {
    let ticks = run.tick_at(SURGE_START)..run.tick_at(OVERLOAD_END);
    if run.tick_count() < ticks.end {
        return None;
    }
    let whole: u64 = ticks.map(|tick| run.tick(tick).whole).sum();
    let seconds = u64_to_f64(OVERLOAD_END - SURGE_START);
    Some(100.0 * u64_to_f64(whole) / seconds / CAPACITY_PER_SECOND)
}

fn overload_recovery(run: &RunReport) -> Option<f64> {
    recovery_after(run, OVERLOAD_END)
}

fn crest_recovery(run: &RunReport) -> Option<f64> {
    recovery_after(run, CREST_END)
}

/// Seconds from `end` to the first of two successive ticks that both count as recovered; for a run
/// that does not recover, the seconds from `end` to the start of its second last tick.
fn recovery_after(run: &RunReport, end: u64) -> Option<f64> {
    let first = run.tick_at(end);
    let is_recovered = |tick: usize| {
        let counts = run.tick(tick);
        u64_to_f64(counts.answered) >= RECOVERED_SHARE * u64_to_f64(counts.offered)
    };
    let last = run
        .tick_count()
        .checked_sub(2)
        .filter(|last| *last > first)?;
    let recovered = (first..last).find(|tick| is_recovered(*tick) && is_recovered(tick + 1));
    let ticks = recovered.unwrap_or(last) - first;
    Some(u64_to_f64(ticks as u64 * run.tick_ms) / 1000.0)
}

fn overload_important(run: &RunReport) -> Option<f64> {
    important_share(run, SURGE_START, OVERLOAD_END)
}

fn crest_important(run: &RunReport) -> Option<f64> {
    important_share(run, SURGE_START, CREST_END)
}

fn important_share(run: &RunReport, start: u64, end: u64) -> Option<f64> {
    let kind = run.kind("critical")?;
    let ticks = kind
        .ticks
        .get(run.tick_at(start)..run.tick_at(end).min(kind.ticks.len()))?;
    let offered: u64 = ticks.iter().map(|tick| tick.offered).sum();
    let answered: u64 = ticks.iter().map(|tick| tick.answered).sum();
    Some(100.0 * u64_to_f64(answered) / u64_to_f64(offered.max(1)))
}

fn wasted_share(run: &RunReport) -> Option<f64> {
    let work = run.work;
    (work.busy_us > 0).then(|| 100.0 * u64_to_f64(work.wasted_us) / u64_to_f64(work.busy_us))
}

fn extra_run_share(run: &RunReport) -> Option<f64> {
    let offered: u64 = run.kinds.iter().map(|kind| kind.offered).sum();
    let needed = u64_to_f64(offered) * RUNS_PER_REQUEST;
    (run.work.runs > 0).then(|| 100.0 * (u64_to_f64(run.work.runs) / needed - 1.0))
}

/// Ratio of the p99 latency of the kind `short` in the row named by `contended` to that in the row
/// named by `alone`, run by run in the order of the files.
fn ratio_row(
    runs: &RunSet,
    title: &'static str,
    bound: f64,
    contended: &str,
    alone: &str,
) -> Result<MeasureRow> {
    let p99 = |row: &str, mode| -> Result<Vec<u64>> {
        let reports: Vec<RunReport> = runs.read_reports(row, mode)?;
        Ok(reports
            .iter()
            .filter_map(|run| run.kind("short"))
            .map(|kind| kind.p99_us)
            .collect())
    };
    let ratios = |mode| -> Result<Vec<f64>> {
        let pairs = p99(contended, mode)?.into_iter().zip(p99(alone, mode)?);
        Ok(pairs
            .map(|(contended, alone)| u64_to_f64(contended) / u64_to_f64(alone.max(1)))
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

fn added_latency_row(
    runs: &RunSet,
    title: &'static str,
    quantile: f64,
    target: MeasureTarget,
) -> Result<MeasureRow> {
    let values = |mode| -> Result<Vec<f64>> {
        let reports: Vec<PairedReport> = runs.read_reports("added", mode)?;
        let quantiles = reports.iter().flat_map(|report| &report.quantiles);
        let quantiles = quantiles.filter(|found| (found.quantile - quantile).abs() < f64::EPSILON);
        Ok(quantiles
            .map(|found| i64_to_f64(found.added_us) / 1000.0)
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

fn violation_row(runs: &RunSet) -> Result<MeasureRow> {
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
            let reports: Vec<RunReport> = runs.read_reports(row, mode)?;
            counts.extend(
                reports
                    .iter()
                    .map(|run| u64_to_f64(run.faults.len() as u64)),
            );
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

// The counts of a run stay far below 2^53, up to which an f64 holds every integer exactly.
#[allow(clippy::cast_precision_loss)]
const fn u64_to_f64(count: u64) -> f64 {
    count as f64
}

#[allow(clippy::cast_precision_loss)]
const fn i64_to_f64(count: i64) -> f64 {
    count as f64
}
