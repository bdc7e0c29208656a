//! Collects the errors of a record, so that one pass reports all of them.

use crate::error::{ProtocolError, Result, ValueError};

use serde_saphyr::Spanned;

/// Largest number of errors in one report.
const ERRORS_MAX: usize = 32;
/// Largest number of characters of a found value that a report quotes.
const FOUND_CHARS_MAX: usize = 80;

/// `ErrorList` holds the errors found so far, in the order of the checks.
#[derive(Debug, Default)]
pub(super) struct ErrorList {
    errors: Vec<ValueError>,
}

impl ErrorList {
    /// Adds an error for `value` at the key `path` unless `is_valid`.
    pub(super) fn check<T: ToString>(
        &mut self,
        path: &str,
        value: &Spanned<T>,
        is_valid: bool,
        expected: &str,
    ) {
        if !is_valid {
            let found = value.value.to_string();
            self.add(path, value, &found, expected);
        }
    }

    /// Adds an error whose value is described by `found`; does nothing once the list is full.
    pub(super) fn add<T>(
        &mut self,
        path: &str,
        location: &Spanned<T>,
        found: &str,
        expected: &str,
    ) {
        if self.errors.len() >= ERRORS_MAX {
            return;
        }
        self.errors.push(ValueError {
            line: location.referenced.line(),
            column: location.referenced.column(),
            path: path.to_owned(),
            found: found.chars().take(FOUND_CHARS_MAX).collect(),
            expected: expected.to_owned(),
        });
    }

    /// Returns `value` if the list is empty.
    ///
    /// # Errors
    /// [`ProtocolError::Values`] with the errors in order of line and column.
    pub(super) fn finish<T>(mut self, value: T) -> Result<T> {
        if self.errors.is_empty() {
            return Ok(value);
        }
        self.errors.sort_by_key(|error| (error.line, error.column));
        Err(ProtocolError::Values {
            errors: self.errors,
        })
    }
}
