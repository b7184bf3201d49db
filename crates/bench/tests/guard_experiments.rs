//! Shortened runs of the committed guard, cascade and quarantine experiments.

use std::path::{Path, PathBuf};

use ferry_bench::cascade::{self, CascadeExperiment};
use ferry_bench::guard::{self, GuardExperiment};
use ferry_bench::quarantine::{self, QuarantineExperiment};
use ferry_bench::report::{ExperimentReport, ReportTable};
use ferry_kernel::settings;

fn experiment_path(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    root.join(name)
}

fn table<'a>(report: &'a ExperimentReport, title: &str) -> &'a ReportTable {
    let found = report.tables.iter().find(|table| table.title == title);
    found.expect("the experiment holds the scenario")
}

fn value(table: &ReportTable, label: &str, column: &str) -> f64 {
    let row = table.rows.iter().find(|row| row.label == label);
    let index = table.columns.iter().position(|known| known == column);
    let (Some(row), Some(index)) = (row, index) else {
        panic!("no {label:?} or no {column:?}");
    };
    row.values[index]
}

fn short_guard(file: &str) -> GuardExperiment {
    let mut experiment: GuardExperiment =
        settings::read_file(&experiment_path(file)).expect("the file is valid");
    experiment.runs = 3;
    experiment.duration_s = 60;
    experiment.scenarios.truncate(1);
    experiment
}

#[test]
fn a_pooled_guard_serves_at_most_a_quarter_of_the_bad_answers_of_independent_routers() {
    let report = guard::simulate(&short_guard("guard.yaml"));
    let table = table(&report, "bad at once");
    let bad = |label| value(table, label, "bad mean");
    assert!(bad("pooled, capped, ramped") <= bad("each alone") / 4.0);
    assert!(value(table, "pooled, capped, ramped", "most unrated") <= 40.0);
    assert!(bad("each alone") < bad("no guard"));
}

#[test]
fn a_tolerable_version_is_not_stopped() {
    let report = guard::simulate(&short_guard("guard-good.yaml"));
    let table = table(&report, "as bad as tolerated");
    let tripped = value(table, "pooled, capped, ramped", "tripped share");
    assert_eq!(tripped, 0.0);
}

#[test]
fn a_poison_request_crashes_at_most_two_upstreams_and_loses_no_other_answer() {
    let mut experiment: QuarantineExperiment =
        settings::read_file(&experiment_path("quarantine.yaml")).expect("the file is valid");
    experiment.runs = 3;
    experiment.scenarios.truncate(1);
    let report = quarantine::simulate(&experiment);
    let table = table(&report, "one poison request");
    assert!(value(table, "pooled", "lost per poison, max") <= 2.0);
    assert_eq!(value(table, "pooled", "unanswered max"), 0.0);
    assert!(value(table, "no containment", "lost per poison, mean") > 2.0);
}

#[test]
fn a_request_that_is_not_idempotent_runs_on_one_stage_only() {
    let mut experiment: CascadeExperiment =
        settings::read_file(&experiment_path("cascade.yaml")).expect("the file is valid");
    experiment.runs = 1;
    experiment.duration_s = 60;
    let report = cascade::simulate(&experiment);
    for table in &report.tables {
        let twice = value(table, "chosen, pooled", "not idempotent, run twice");
        assert_eq!(twice, 0.0, "{}", table.title);
        let cost = |label| value(table, label, "cost per answer");
        assert!(cost("chosen, pooled") < cost("always strong"));
    }
}
