//! Tables for people, JSON for programs.

use serde::Serialize;

use crate::cli::Output;

/// A table with a heading.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these column names.
    pub fn new(heading: &[&str]) -> Self {
        Self { rows: vec![heading.iter().map(|name| (*name).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// The table as text, columns aligned.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let line = |row: &Vec<String>| {
            let cells = row.iter().zip(&widths);
            let padded: Vec<String> =
                cells.map(|(cell, width)| format!("{cell:<width$}")).collect();
            padded.join("  ").trim_end().to_owned()
        };
        self.rows.iter().map(line).collect::<Vec<String>>().join("\n")
    }
}

/// Prints a value as JSON, or the table made of it.
pub fn print<T: Serialize>(output: Output, value: &T, table: impl FnOnce() -> Table) {
    match output {
        Output::Table => println!("{}", table().render()),
        Output::Json => println!("{}", serde_json::to_string(value).unwrap_or_default()),
    }
}
