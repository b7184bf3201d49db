//! Runs all policies and seeds of an experiment and builds the report.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::OverloadExperiment;
use super::group_figures::GroupFigures;
use super::overload_run;
use super::run_figures::RunFigures;
use crate::report::{ExperimentReport, PlotSeries, ReportPlot, ReportTable};

/// Columns of the tables.
const COLUMNS: [&str; 11] = [
    "offered/s",
    "in time/s",
    "in time %",
    "refused %",
    "in 50 ms %",
    "late %",
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "retries/req",
    "work %",
];

/// Simulates `experiment` with each policy and seed.
pub fn simulate(experiment: &OverloadExperiment) -> ExperimentReport {
    let done = &AtomicUsize::new(0);
    let total = experiment.variants.len() * experiment.seeds.len();
    let results: Vec<RunFigures> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..experiment.variants.len())
            .map(|variant| scope.spawn(move || simulate_variant(experiment, variant, done, total)))
            .collect();
        workers
            .into_iter()
            .map(|thread| thread.join().expect("a run does not panic"))
            .collect()
    });
    ExperimentReport {
        name: experiment.name.clone(),
        seeds: experiment.seeds.clone(),
        tables: tables(experiment, &results),
        plots: vec![answer_plot(experiment, &results)],
    }
}

fn simulate_variant(
    experiment: &OverloadExperiment,
    variant: usize,
    done: &AtomicUsize,
    total: usize,
) -> RunFigures {
    let mut sum = RunFigures::default();
    for seed in &experiment.seeds {
        sum.add(&overload_run::simulate(
            experiment,
            &experiment.variants[variant],
            *seed,
        ));
        let count = done.fetch_add(1, Ordering::Relaxed) + 1;
        eprintln!("finished run {count} of {total}");
    }
    sum
}

fn tables(experiment: &OverloadExperiment, results: &[RunFigures]) -> Vec<ReportTable> {
    let mut tables = Vec::new();
    for (index, phase) in experiment.phases.iter().enumerate() {
        let load = phase.load + phase.burst;
        let title = format!("Phase {}: load {load} of capacity", index + 1);
        tables.push(table(experiment, &title, phase.seconds, results, |r| {
            &r.phases[index]
        }));
    }
    let seconds = experiment.duration().as_secs();
    for (index, class) in experiment.classes.iter().enumerate() {
        let title = format!("Class {:?}, all phases", class.priority);
        tables.push(table(experiment, &title, seconds, results, |r| {
            &r.classes[index]
        }));
    }
    let first_workspace = "First workspace, all phases";
    tables.push(table(experiment, first_workspace, seconds, results, |r| {
        &r.first_workspace
    }));
    let other_workspaces = "Other workspaces, all phases";
    tables.push(table(experiment, other_workspaces, seconds, results, |r| {
        &r.other_workspaces
    }));
    tables
}

fn table(
    experiment: &OverloadExperiment,
    title: &str,
    seconds: u64,
    results: &[RunFigures],
    select: impl Fn(&RunFigures) -> &GroupFigures,
) -> ReportTable {
    let mut table = ReportTable::new(title, &COLUMNS);
    let run_seconds = (seconds * experiment.seeds.len() as u64) as f64;
    for (variant, result) in experiment.variants.iter().zip(results) {
        let figures = select(result);
        let work_percent =
            figures.useful_steps as f64 / (run_seconds * experiment.steps_per_second()) * 100.0;
        table.push(&variant.name, &row(figures, run_seconds, work_percent));
    }
    table
}

fn row(figures: &GroupFigures, seconds: f64, work_percent: f64) -> [f64; 11] {
    let offered = figures.offered.max(1) as f64;
    let answered = figures.answered() as f64;
    let refused = figures.refused as f64;
    let prompt = figures.refused_promptly as f64 / refused.max(1.0);
    [
        figures.offered as f64 / seconds,
        answered / seconds,
        answered / offered * 100.0,
        refused / offered * 100.0,
        prompt * 100.0,
        figures.late as f64 / offered * 100.0,
        figures.latency_ms(0.5),
        figures.latency_ms(0.95),
        figures.latency_ms(0.99),
        figures.retries as f64 / offered,
        work_percent,
    ]
}

fn answer_plot(experiment: &OverloadExperiment, results: &[RunFigures]) -> ReportPlot {
    let seeds = experiment.seeds.len() as f64;
    let series = experiment
        .variants
        .iter()
        .zip(results)
        .map(|(variant, result)| {
            let seconds = result.answers_by_second.iter().enumerate();
            PlotSeries {
                name: variant.name.clone(),
                points: seconds
                    .map(|(s, count)| (s as f64, *count as f64 / seeds))
                    .collect(),
            }
        });
    ReportPlot {
        title: format!("{}: answers in time", experiment.name),
        x_label: "time, s".to_owned(),
        y_label: "answers per second".to_owned(),
        series: series.collect(),
    }
}
