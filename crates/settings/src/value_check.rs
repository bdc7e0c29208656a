//! Checks values and collects every fault, so that one pass names them all.

use crate::{
    error::{Result, SettingsError, ValueError},
    settings_text::SpannedText,
};

use compact_str::CompactString;
use serde_saphyr::Location;
use std::net::SocketAddr;

/// What is expected of an address.
const EXPECTED_ADDRESS: &str = "an IP address with a port, such as 127.0.0.1:7001";
/// What is expected of a name.
const EXPECTED_NAME: &str = "letters, digits, '-', '_' and '.', at most 64 of them";
/// Longest name, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// `ValueChecker` collects errors while values are read.
#[derive(Debug, Default)]
pub struct ValueChecker {
    errors: Vec<ValueError>,
}

impl ValueChecker {
    /// Notes a fault of the value at `location`.
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

    /// Reads a name.
    pub fn read_name(&mut self, key: &str, text: &SpannedText) -> CompactString {
        let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        let name = &text.value;
        if name.is_empty() || name.len() > NAME_BYTES_MAX || !name.chars().all(is_allowed) {
            self.add_error(text.referenced, key, name, EXPECTED_NAME);
        }
        name.clone()
    }

    /// Reads an address; a fault gives an address that is never used.
    pub fn read_address(&mut self, key: &str, text: &SpannedText) -> SocketAddr {
        text.value.parse().unwrap_or_else(|_| {
            self.add_error(text.referenced, key, &text.value, EXPECTED_ADDRESS);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Reads one of the named choices; the default where the key is missing.
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

    /// Hands `value` out if no fault was noted.
    ///
    /// # Errors
    /// [`SettingsError::Values`] with every fault.
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
