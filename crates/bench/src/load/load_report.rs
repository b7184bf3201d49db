//! Tables and plots of a load run.

use hdrhistogram::Histogram;

use super::LoadExperiment;
use super::load_figures::{LoadFigures, StreamFigures, quantile_ms};
use crate::report::{ExperimentReport, PlotSeries, ReportPlot, ReportTable};

/// Quantiles at which the plots have points.
const PLOT_QUANTILES: [f64; 8] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999];
/// Bytes in a megabyte.
const MEGABYTE: f64 = 1_000_000.0;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;
const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;

/// Results of one step.
pub(super) struct StepResult {
    pub(super) rate: f64,
    /// Results of the same calls sent directly to the engines, when there is a baseline.
    pub(super) direct: Option<LoadFigures>,
    pub(super) routed: LoadFigures,
}

impl StepResult {
    /// The results of the step by target, each with its row label.
    fn figures_by_target(&self) -> impl Iterator<Item = (String, &LoadFigures)> {
        let direct = self.direct.iter().map(|figures| ("engines", figures));
        let targets = direct.chain([("routers", &self.routed)]);
        targets.map(|(name, figures)| (format!("{}/s {name}", self.rate), figures))
    }
}

/// Builds the report of `steps`.
pub(super) fn report(experiment: &LoadExperiment, steps: &[StepResult]) -> ExperimentReport {
    let mut tables = vec![count_table(steps), time_table(steps), usage_table(steps)];
    tables.extend(
        steps
            .iter()
            .any(|step| step.direct.is_some())
            .then(|| added_latency_table(steps)),
    );
    tables.extend(refusal_table(steps));
    ExperimentReport {
        name: experiment.name.clone(),
        seeds: vec![experiment.seed],
        tables,
        plots: vec![
            plot("Time to the first piece", steps, |figures| &figures.first),
            plot("Time to the end of the answer", steps, |figures| {
                &figures.total
            }),
        ],
    }
}

fn count_table(steps: &[StepResult]) -> ReportTable {
    let columns = ["due", "unsent", "answered", "refused", "broken", "not own"];
    let mut table = ReportTable::new("Calls", &columns);
    for (name, figures) in steps.iter().flat_map(StepResult::figures_by_target) {
        let refused: u64 = figures.refused.values().sum();
        let LoadFigures {
            due,
            unsent,
            answered,
            broken,
            wrong_answers,
            ..
        } = figures;
        let counts = [*due, *unsent, *answered, refused, *broken, *wrong_answers];
        table.push(&name, &counts.map(|count| count as f64));
    }
    table
}

fn time_table(steps: &[StepResult]) -> ReportTable {
    let columns = [
        "first p50 ms",
        "first p99 ms",
        "gap p50 ms",
        "gap p99 ms",
        "total p50 ms",
        "total p99 ms",
    ];
    let mut table = ReportTable::new("Times by workspace and class", &columns);
    for (name, figures) in steps.iter().flat_map(StepResult::figures_by_target) {
        for (stream, times) in &figures.streams {
            let columns = [&times.first, &times.gaps, &times.total];
            let values = columns.map(|t| [quantile_ms(t, MEDIAN), quantile_ms(t, P99)]);
            table.push(&format!("{name} {stream}"), values.as_flattened());
        }
    }
    table
}

fn usage_table(steps: &[StepResult]) -> ReportTable {
    let columns = [
        "cpu % of a core",
        "cpu us/answer",
        "start MB",
        "peak MB",
        "open at peak",
    ];
    let mut table = ReportTable::new("Processor time and memory", &columns);
    for (name, figures) in steps.iter().flat_map(StepResult::figures_by_target) {
        let core = figures.cpu_seconds / figures.seconds * 100.0;
        let answer = figures.cpu_seconds * MICROS_PER_SECOND / figures.answered.max(1) as f64;
        let before = figures.resident_before / MEGABYTE;
        let peak = figures.peak_resident / MEGABYTE;
        table.push(
            &name,
            &[core, answer, before, peak, figures.open_at_peak as f64],
        );
    }
    table
}

fn added_latency_table(steps: &[StepResult]) -> ReportTable {
    let columns = [
        "first p50 ms",
        "first p99 ms",
        "total p50 ms",
        "total p99 ms",
    ];
    let mut table = ReportTable::new("Added by the routers", &columns);
    for step in steps {
        let Some(direct) = &step.direct else { continue };
        let (direct, routed) = (direct.all_streams(), step.routed.all_streams());
        let added = |times: fn(&StreamFigures) -> &Histogram<u64>, share| {
            quantile_ms(times(&routed), share) - quantile_ms(times(&direct), share)
        };
        let (first, total) = (first_times as fn(&_) -> &_, total_times as fn(&_) -> &_);
        let values = [
            added(first, MEDIAN),
            added(first, P99),
            added(total, MEDIAN),
            added(total, P99),
        ];
        table.push(&format!("{}/s", step.rate), &values);
    }
    table
}

fn refusal_table(steps: &[StepResult]) -> Option<ReportTable> {
    let mut table = ReportTable::new("Refusals by kind", &["calls"]);
    for (name, figures) in steps.iter().flat_map(StepResult::figures_by_target) {
        for (kind, count) in &figures.refused {
            table.push(&format!("{name} {kind}"), &[*count as f64]);
        }
    }
    (!table.rows.is_empty()).then_some(table)
}

fn plot(
    title: &str,
    steps: &[StepResult],
    times: fn(&StreamFigures) -> &Histogram<u64>,
) -> ReportPlot {
    let series = steps
        .iter()
        .flat_map(StepResult::figures_by_target)
        .map(|(name, figures)| {
            let all = figures.all_streams();
            let point = |share: f64| (share * 100.0, quantile_ms(times(&all), share));
            PlotSeries {
                name,
                points: PLOT_QUANTILES.map(point).to_vec(),
            }
        });
    ReportPlot {
        title: title.to_owned(),
        x_label: "quantile in percent".to_owned(),
        y_label: "ms".to_owned(),
        series: series.collect(),
    }
}

fn first_times(figures: &StreamFigures) -> &Histogram<u64> {
    &figures.first
}

fn total_times(figures: &StreamFigures) -> &Histogram<u64> {
    &figures.total
}
