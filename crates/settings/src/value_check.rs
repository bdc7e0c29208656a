//! Checks values and collects the errors, so that one pass reports all of them.

use crate::{
    error::{Result, SettingsError, ValueError},
    settings_text::SpannedText,
};

use compact_str::CompactString;
use serde_saphyr::Location;
use std::net::SocketAddr;

/// Accepted form of an address, for error messages.
const EXPECTED_ADDRESS: &str = "an IP address with a port, such as 127.0.0.1:7001";
/// Accepted form of a name, for error messages.
const EXPECTED_NAME: &str = "1 to 64 letters, digits, '-', '_' or '.'";
/// Longest name accepted, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// `ValueChecker` reads values and collects their errors.
#[derive(Debug, Default)]
pub struct ValueChecker {
    errors: Vec<ValueError>,
}

impl ValueChecker {
    /// Adds an error for the value at `location`.
    pub fn add_error(
        &mut self,
        location: Location,
        key: &str,
        found: &str,
        expected: &'static str,
    ) {
        let (line, key, found) = (location.line(), key.to_owned(), found.to_owned());
        self.errors.push(ValueError {
            line,
            key,
            found,
            expected,
        });
    }

    /// Reads a name; an invalid one adds an error.
    pub fn read_name(&mut self, key: &str, text: &SpannedText) -> CompactString {
        let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let name = &text.value;
        if name.is_empty() || name.len() > NAME_BYTES_MAX || !name.chars().all(is_allowed) {
            self.add_error(text.referenced, key, name, EXPECTED_NAME);
        }
        name.clone()
    }

    /// Reads an address; an invalid one adds an error and gives a placeholder that is never used,
    /// since [`Self::finish`] fails.
    pub fn read_address(&mut self, key: &str, text: &SpannedText) -> SocketAddr {
        text.value.parse().unwrap_or_else(|_| {
            self.add_error(text.referenced, key, &text.value, EXPECTED_ADDRESS);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Reads one of the named `choices`; gives the default if the key is missing, and also adds an
    /// error if the name is unknown.
    pub fn read_choice<T: Copy + Default>(
        &mut self,
        key: &str,
        text: Option<&SpannedText>,
        choices: &[(&str, T)],
        expected: &'static str,
    ) -> T {
        let Some(text) = text else {
            return T::default();
        };
        let found = choices.iter().find(|(name, _)| text.value == *name);
        if found.is_none() {
            self.add_error(text.referenced, key, &text.value, expected);
        }
        found.map_or_else(T::default, |(_, choice)| *choice)
    }

    /// Returns `value` if there are no errors.
    ///
    /// # Errors
    /// [`SettingsError::Values`] with all errors.
    pub fn finish<T>(self, value: T) -> Result<T> {
        if self.errors.is_empty() {
            Ok(value)
        } else {
            Err(SettingsError::Values {
                errors: self.errors,
            })
        }
    }
}
