//! Printing of answers: aligned text or JSON on standard output.

use std::io::Write;

use serde::Serialize;

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    print_line(&text);
}

/// Prints one line.
pub fn print_line(text: &str) {
    // A closed pipe is no fault of the command.
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}

/// Rows of text under headings.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with its headings.
    pub fn new(headings: &[&str]) -> Self {
        Self {
            rows: vec![
                headings
                    .iter()
                    .map(|heading| (*heading).to_owned())
                    .collect(),
            ],
        }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Prints all rows with aligned columns.
    pub fn print(&self) {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"));
            print_line(cells.collect::<Vec<_>>().join("  ").trim_end());
        }
    }
}
