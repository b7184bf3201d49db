//! Runs all variants and seeds of an experiment and builds the report.

use std::time::Duration;

use super::limits_run::{self, SecondCounts};
use super::{LimitPhase, LimitVariant, LimitsExperiment};
use crate::report::{ExperimentReport, PlotSeries, ReportPlot, ReportTable};

/// Columns of the tables.
const COLUMNS: [&str; 6] = [
    "offered/s",
    "admitted/s",
    "of limit %",
    "refused %",
    "refused within limit",
    "deviation %",
];

/// Simulates `experiment` with each variant and seed.
pub fn simulate(experiment: &LimitsExperiment) -> ExperimentReport {
    let results: Vec<Vec<SecondCounts>> = experiment
        .variants
        .iter()
        .map(|variant| simulate_variant(experiment, *variant))
        .collect();
    ExperimentReport {
        name: experiment.name.clone(),
        seeds: experiment.seeds.clone(),
        tables: (0..experiment.phases.len())
            .map(|phase| table(experiment, phase, &results))
            .collect(),
        plots: vec![plot(experiment, &results)],
    }
}

fn simulate_variant(experiment: &LimitsExperiment, variant: LimitVariant) -> Vec<SecondCounts> {
    let seeds = experiment.seeds.iter();
    seeds
        .map(|seed| limits_run::simulate(experiment, variant, *seed))
        .collect()
}

fn table(
    experiment: &LimitsExperiment,
    phase: usize,
    results: &[Vec<SecondCounts>],
) -> ReportTable {
    let load = experiment.phases[phase].load;
    let title = format!("Phase {}: {load} of the limit", phase + 1);
    let mut table = ReportTable::new(&title, &COLUMNS);
    for (variant, runs) in experiment.variants.iter().zip(results) {
        table.push(variant.name(), &row(experiment, phase, runs));
    }
    table
}

fn row(experiment: &LimitsExperiment, phase: usize, runs: &[SecondCounts]) -> [f64; 6] {
    let (mut offered, mut admitted, mut squares) = (0.0, 0.0, 0.0);
    let mut count = 0.0;
    let LimitPhase { load, .. } = experiment.phases[phase];
    let permitted = experiment.limit.rate * load.min(1.0);
    for run in runs {
        for (second, (o, a)) in run.offered.iter().zip(&run.admitted).enumerate() {
            if experiment.phase_at(Duration::from_secs(second as u64)) != phase {
                continue;
            }
            offered += *o as f64;
            admitted += *a as f64;
            squares += (*a as f64 - permitted).powi(2);
            count += 1.0;
        }
    }
    let refused = offered - admitted;
    let refused_within_limit = if load <= 1.0 { refused } else { 0.0 };
    [
        offered / count,
        admitted / count,
        admitted / count / experiment.limit.rate * 100.0,
        refused / offered * 100.0,
        refused_within_limit,
        (squares / count).sqrt() / permitted * 100.0,
    ]
}

fn plot(experiment: &LimitsExperiment, results: &[Vec<SecondCounts>]) -> ReportPlot {
    let seconds = experiment.seconds() as usize;
    let runs = experiment.seeds.len().max(1) as f64;
    let series = experiment
        .variants
        .iter()
        .zip(results)
        .map(|(variant, result)| {
            let mean =
                |second: usize| result.iter().map(|r| r.admitted[second]).sum::<u64>() as f64;
            PlotSeries {
                name: variant.name().to_owned(),
                points: (0..seconds)
                    .map(|second| (second as f64, mean(second) / runs))
                    .collect(),
            }
        });
    ReportPlot {
        title: format!("{}: admitted requests", experiment.name),
        x_label: "time, s".to_owned(),
        y_label: "requests per second".to_owned(),
        series: series.collect(),
    }
}
