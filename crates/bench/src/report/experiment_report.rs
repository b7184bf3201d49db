//! Everything that one experiment found.

use serde::Serialize;

use super::{ReportPlot, ReportTable};
use crate::bench_error::BenchError;

/// Figures of one experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub name: String,
    /// Seeds that were played.
    pub seeds: Vec<u64>,
    /// Tables in the order in which they are printed.
    pub tables: Vec<ReportTable>,
    /// Plots, drawn one below the other.
    pub plots: Vec<ReportPlot>,
}

impl ExperimentReport {
    /// A report of the seeds `1..=runs` without plots.
    pub fn of_tables(name: &str, runs: u64, tables: impl Iterator<Item = ReportTable>) -> Self {
        Self {
            name: name.to_owned(),
            seeds: (1..=runs).collect(),
            tables: tables.collect(),
            plots: Vec::new(),
        }
    }

    /// The tables for a terminal.
    pub fn to_text(&self) -> String {
        let tables: Vec<String> = self.tables.iter().map(ReportTable::to_text).collect();
        let seeds = self.seeds.len();
        format!("{}: {seeds} seeds\n\n{}", self.name, tables.join("\n"))
    }

    /// All figures for programs.
    pub fn to_json(&self) -> String {
        let text = serde_json::to_string_pretty(self).unwrap_or_default();
        text + "\n"
    }

    /// The plots as one SVG image.
    ///
    /// # Errors
    ///
    /// Fails when a plot cannot be drawn, for example since it has no points.
    pub fn to_svg(&self) -> Result<String, BenchError> {
        super::report_plot::draw(&self.plots)
    }
}
