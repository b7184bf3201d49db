//! Time and memory of the state that grows with the deployment, each at several sizes.

mod config_slope;
mod ledger_slope;
mod memory_growth;
mod pool_slope;

use crate::report::{ExperimentReport, PlotSeries, ReportPlot, ReportTable};

/// Measures all slopes.
pub fn measure() -> ExperimentReport {
    let tables = vec![
        config_slope::measure(),
        ledger_slope::measure_claims(),
        ledger_slope::measure_bills(),
        pool_slope::measure_demand(),
        pool_slope::measure_guard(),
    ];
    let plots = tables.iter().map(first_column).collect();
    ExperimentReport {
        name: "capacity".to_owned(),
        seeds: Vec::new(),
        tables,
        plots,
    }
}

/// Plot of the first column over the sizes, which the rows' labels start with.
fn first_column(table: &ReportTable) -> ReportPlot {
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
