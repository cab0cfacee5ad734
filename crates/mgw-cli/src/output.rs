//! Prints answers to standard output, as aligned text or as JSON.

use std::io::Write;

use serde::Serialize;

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    print_line(&text);
}

/// Prints one line.
pub fn print_line(text: &str) {
    // Errors are ignored: a reader that closes the pipe early must not make the command fail.
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}

/// Text table with headings.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table that has headings and no rows yet.
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
