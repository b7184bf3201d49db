//! Results of an experiment as text, JSON and an SVG plot.

mod experiment_report;
mod report_plot;
mod report_table;

pub use experiment_report::ExperimentReport;
pub use report_plot::{PlotSeries, ReportPlot};
pub use report_table::{ReportRow, ReportTable};
