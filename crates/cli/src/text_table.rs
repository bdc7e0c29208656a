//! Tables and trees for people.

use serde_json::Value;
use std::fmt::Write;

/// Width of the names in a tree.
const NAME_WIDTH: usize = 18;

/// `TextTable` lays out rows in columns as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a row of titles.
    #[must_use]
    pub fn new(titles: &[&str]) -> Self {
        Self {
            rows: vec![titles.iter().map(|title| (*title).to_owned()).collect()],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Text of the table.
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

/// Lays out a JSON value as an indented tree.
#[must_use]
pub fn tree(value: &Value) -> String {
    let mut text = String::new();
    add_branch(&mut text, value, 0);
    text
}

/// A scalar as text without quotes; `-` for nothing.
#[must_use]
pub fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn add_branch(text: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                add_field(text, name, field, depth);
            }
        }
        Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                add_field(text, &index.to_string(), item, depth);
            }
        }
        scalar => {
            let _ = writeln!(text, "{:indent$}{}", "", plain(scalar), indent = 2 * depth);
        }
    }
}

fn add_field(text: &mut String, name: &str, field: &Value, depth: usize) {
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
        add_branch(text, field, depth + 1);
    } else {
        let _ = writeln!(text, "{:indent$}{name:<NAME_WIDTH$} {}", "", plain(field));
    }
}
