//! `lagoonshore-measure` computes the table of measures from the reports that the stand-ins wrote
//! during benchmark runs.

pub mod error;
pub mod measures;
pub mod page;
pub mod run_report;
pub mod run_set;

pub use error::{MeasureError, Result};
