//! Plain-text tables, and indented trees of JSON values.

use serde_json::Value;
use std::fmt::Write;

/// Width to which the names of scalar fields are padded in a tree, in characters.
const NAME_WIDTH: usize = 18;

/// `TextTable` renders rows in columns, each as wide as its widest cell.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table whose first row is `titles`.
    #[must_use]
    pub fn new(titles: &[&str]) -> Self {
        Self {
            rows: vec![titles.iter().map(|title| (*title).to_owned()).collect()],
        }
    }

    /// Appends a row; it may have fewer cells than the titles.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Renders the table, one line per row, without trailing spaces.
    #[must_use]
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            let _ = writeln!(text, "{}", line.trim_end());
        }
        text
    }
}

/// Renders a JSON value as a tree with an indentation of two spaces per level.
#[must_use]
pub fn render_tree(value: &Value) -> String {
    let mut text = String::new();
    write_branch(&mut text, value, 0);
    text
}

/// Formats a scalar as text without quotes; `-` for null.
#[must_use]
pub fn format_scalar(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn write_branch(text: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                write_field(text, name, field, depth);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                write_field(text, &index.to_string(), item, depth);
            }
        }
        scalar => {
            let _ = writeln!(
                text,
                "{:indent$}{}",
                "",
                format_scalar(scalar),
                indent = 2 * depth
            );
        }
    }
}

fn write_field(text: &mut String, name: &str, field: &Value, depth: usize) {
    let indent = 2 * depth;
    let is_empty = match field {
        Value::Object(fields) => fields.is_empty(),
        Value::Array(items) => items.is_empty(),
        _ => false,
    };
    if is_empty {
        let _ = writeln!(text, "{:indent$}{name:<NAME_WIDTH$} none", "");
    } else if field.is_object() || field.is_array() {
        let _ = writeln!(text, "{:indent$}{name}:", "");
        write_branch(text, field, depth + 1);
    } else {
        let _ = writeln!(
            text,
            "{:indent$}{name:<NAME_WIDTH$} {}",
            "",
            format_scalar(field)
        );
    }
}
