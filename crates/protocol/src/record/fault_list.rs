//! Collects the faults of a record, so that one pass reports all of them.

use crate::error::{ProtocolError, Result, ValueError};

use serde_saphyr::Spanned;

/// Faults that one report names.
const FAULTS_MAX: usize = 32;
/// Characters of a found value that a report repeats.
const FOUND_CHARS_MAX: usize = 80;

/// `FaultList` holds the faults found so far, in the order of the checks.
#[derive(Debug, Default)]
pub(super) struct FaultList {
    faults: Vec<ValueError>,
}

impl FaultList {
    /// Notes a fault of `value` at the key `path` unless the check `holds`.
    pub(super) fn check<T: ToString>(
        &mut self,
        path: &str,
        value: &Spanned<T>,
        holds: bool,
        expected: &str,
    ) {
        if !holds {
            let found = value.value.to_string();
            self.note(path, value, &found, expected);
        }
    }

    /// Notes a fault whose value is described by `found`.
    pub(super) fn note<T>(&mut self, path: &str, place: &Spanned<T>, found: &str, expected: &str) {
        if self.faults.len() >= FAULTS_MAX {
            return;
        }
        self.faults.push(ValueError {
            line: place.referenced.line(),
            column: place.referenced.column(),
            path: path.to_owned(),
            found: found.chars().take(FOUND_CHARS_MAX).collect(),
            expected: expected.to_owned(),
        });
    }

    /// The record if no fault was found.
    ///
    /// # Errors
    /// [`ProtocolError::Values`] names every fault, by line.
    pub(super) fn finish<T>(mut self, value: T) -> Result<T> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        Err(ProtocolError::Values {
            faults: self.faults,
        })
    }
}
