//! Renders the rows as a Markdown page.

use crate::measures::{MeasureRow, MeasureTarget};

use std::fmt::Write;

/// Renders the page; `revision` is the code revision that was measured.
#[must_use]
pub fn render(rows: &[MeasureRow], revision: &str) -> String {
    let mut page = format!(
        "# Measures\n\n\
         Written by `scripts/measure` from runs of revision {revision}. Each cell gives median \
         (minimum to maximum) over the seeds; the baseline is the same set-up with nodes that pass \
         everything through. A target is met only if every seed meets it.\n\n\
         | measure | unit | target | lagoonshore | met | baseline |\n\
         |---|---|---|---|---|---|\n"
    );
    for row in rows {
        let _ = writeln!(
            page,
            "| {} | {} | {} | {} | {} | {} |",
            row.title,
            row.unit,
            format_target(row.target),
            format_spread(&row.enforce),
            format_met(row.target.is_met(&row.enforce)),
            format_spread(&row.baseline),
        );
    }
    page
}

fn format_target(target: MeasureTarget) -> String {
    match target {
        MeasureTarget::AtLeast(bound) => format!("≥ {bound}"),
        MeasureTarget::AtMost(bound) => format!("≤ {bound}"),
        MeasureTarget::ReportOnly => "none".to_owned(),
    }
}

const fn format_met(is_met: Option<bool>) -> &'static str {
    match is_met {
        Some(true) => "yes",
        Some(false) => "**no**",
        None => "",
    }
}

fn format_spread(values: &[f64]) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (Some(minimum), Some(maximum)) = (sorted.first(), sorted.last()) else {
        return "not run".to_owned();
    };
    let median = sorted[sorted.len() / 2];
    format!(
        "{median:.2} ({minimum:.2} to {maximum:.2}; n={})",
        sorted.len()
    )
}
