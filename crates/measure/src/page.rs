//! Writes the rows as a page of Markdown.

use crate::measures::{MeasureRow, MeasureTarget};

use std::fmt::Write;

/// Text of the page; `revision` names the code that was measured.
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
            target(row.target),
            spread(&row.enforce),
            verdict(row.target.is_met(&row.enforce)),
            spread(&row.baseline),
        );
    }
    page
}

fn target(target: MeasureTarget) -> String {
    match target {
        MeasureTarget::AtLeast(bound) => format!("≥ {bound}"),
        MeasureTarget::AtMost(bound) => format!("≤ {bound}"),
        MeasureTarget::Reported => "none".to_owned(),
    }
}

const fn verdict(is_met: Option<bool>) -> &'static str {
    match is_met {
        Some(true) => "yes",
        Some(false) => "**no**",
        None => "",
    }
}

fn spread(values: &[f64]) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (Some(least), Some(most)) = (sorted.first(), sorted.last()) else {
        return "not run".to_owned();
    };
    let median = sorted[sorted.len() / 2];
    format!("{median:.2} ({least:.2} to {most:.2}; n={})", sorted.len())
}
