//! Tables of figures, such as one row per policy.

use std::fmt::Write;

use serde::Serialize;

/// Separator between two columns.
const COLUMN_GAP: &str = "  ";

/// One table.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReportTable {
    /// Title of the table.
    pub title: String,
    /// Names of the columns after the first, with their units.
    pub columns: Vec<String>,
    /// Rows in the order in which they are printed.
    pub rows: Vec<ReportRow>,
}

/// One row of a table.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReportRow {
    /// Label in the first column, such as the policy.
    pub label: String,
    /// One value per column.
    pub values: Vec<f64>,
}

impl ReportTable {
    /// Creates an empty table.
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(|c| (*c).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn push(&mut self, label: &str, values: &[f64]) {
        self.rows.push(ReportRow {
            label: label.to_owned(),
            values: values.to_vec(),
        });
    }

    /// Formats the table with aligned columns.
    pub fn to_text(&self) -> String {
        let first = self.rows.iter().map(|r| r.label.len()).max().unwrap_or(0);
        let mut text = format!("{}\n{:first$}", self.title, "");
        for column in &self.columns {
            let _ = write!(text, "{COLUMN_GAP}{column}");
        }
        text.push('\n');
        for row in &self.rows {
            let _ = write!(text, "{:first$}", row.label);
            for (column, value) in self.columns.iter().zip(&row.values) {
                let width = column.len();
                let _ = write!(text, "{COLUMN_GAP}{:>width$}", short_number(*value));
            }
            text.push('\n');
        }
        text
    }
}

/// Formats `value`: no decimals from 100 on or for a whole number, two from 1 on, else four.
fn short_number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
