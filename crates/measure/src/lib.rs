//! `lagoonshore-measure` turns the reports of measured runs into the table of measures.

pub mod error;
pub mod measures;
pub mod page;
pub mod run_report;
pub mod run_set;

pub use error::{MeasureError, Result};
