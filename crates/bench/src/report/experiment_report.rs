//! Report of one experiment.

use serde::Serialize;

use super::{ReportPlot, ReportTable};
use crate::bench_error::BenchError;

/// Results of one experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub name: String,
    /// Seeds of the runs.
    pub seeds: Vec<u64>,
    /// Tables in the order in which they are printed.
    pub tables: Vec<ReportTable>,
    /// Plots, drawn one below the other.
    pub plots: Vec<ReportPlot>,
}

impl ExperimentReport {
    /// Creates a report of the seeds `1..=runs` without plots.
    pub fn from_tables(name: &str, runs: u64, tables: impl Iterator<Item = ReportTable>) -> Self {
        Self {
            name: name.to_owned(),
            seeds: (1..=runs).collect(),
            tables: tables.collect(),
            plots: Vec::new(),
        }
    }

    /// Formats the tables for a terminal.
    pub fn to_text(&self) -> String {
        let tables: Vec<String> = self.tables.iter().map(ReportTable::to_text).collect();
        let seeds = self.seeds.len();
        format!("{}: {seeds} seeds\n\n{}", self.name, tables.join("\n"))
    }

    /// Serializes the report as JSON, for programs.
    pub fn to_json(&self) -> String {
        let text = serde_json::to_string_pretty(self).unwrap_or_default();
        text + "\n"
    }

    /// Draws the plots as one SVG image.
    ///
    /// # Errors
    ///
    /// Fails when a plot cannot be drawn, for example because it has no points.
    pub fn to_svg(&self) -> Result<String, BenchError> {
        super::report_plot::draw(&self.plots)
    }
}
