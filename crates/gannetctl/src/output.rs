//! Prints results as tables or JSON.

use serde::Serialize;

use crate::cli::Output;

/// A table with a header row.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column names.
    pub fn new(column_names: &[&str]) -> Self {
        Self { rows: vec![column_names.iter().map(|name| (*name).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Formats the table as text with aligned columns.
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

/// Prints `value` as JSON or `table`, depending on `output`.
pub fn print<T: Serialize>(output: Output, value: &T, table: impl FnOnce() -> Table) {
    match output {
        Output::Table => println!("{}", table().render()),
        Output::Json => println!("{}", serde_json::to_string(value).unwrap_or_default()),
    }
}
