//! Time and memory of the state whose size grows with the deployment, measured at several sizes.

mod config_scaling;
mod ledger_scaling;
mod memory_growth;
mod pool_scaling;

use crate::report::{ExperimentReport, PlotSeries, ReportPlot, ReportTable};

/// Measures how the cost of each kind of state scales.
pub fn measure() -> ExperimentReport {
    let tables = vec![
        config_scaling::measure(),
        ledger_scaling::measure_claims(),
        ledger_scaling::measure_bills(),
        pool_scaling::measure_demand(),
        pool_scaling::measure_guard(),
    ];
    let plots = tables.iter().map(plot_first_column).collect();
    ExperimentReport {
        name: "capacity".to_owned(),
        seeds: Vec::new(),
        tables,
        plots,
    }
}

/// Plots the first column of `table` over the sizes, which are the first words of the row labels.
fn plot_first_column(table: &ReportTable) -> ReportPlot {
    let rows = table.rows.iter();
    let points = rows.filter_map(|row| {
        let size = row.label.split(' ').next()?.parse().ok()?;
        Some((size, *row.values.first()?))
    });
    ReportPlot {
        title: table.title.clone(),
        x_label: "size".to_owned(),
        y_label: table.columns.first().cloned().unwrap_or_default(),
        series: vec![PlotSeries {
            name: table.columns.first().cloned().unwrap_or_default(),
            points: points.collect(),
        }],
    }
}
