//! Load on a real router: every call gets its own answer, and invalid load files are rejected.

use ferry_bench::load::{self, LoadExperiment};
use ferry_bench::report::ExperimentReport;

const SHORT: &str = "
kind: load
name: short
seed: 5
seconds: 2
steps: [40]
baseline: true
engines: {count: 2, batch: 16, step_ms: 1}
mix:
  - {workspace: clinic, class: urgent, weight: 1, stream: true, tokens: 8}
  - {workspace: depot, class: normal, weight: 1, stream: false, tokens: 4}
";

fn value(report: &ExperimentReport, table: &str, label: &str, column: &str) -> f64 {
    let table = report.tables.iter().find(|t| t.title.starts_with(table));
    let table = table.unwrap();
    let index = table.columns.iter().position(|c| c == column).unwrap();
    let row = table.rows.iter().find(|row| row.label == label).unwrap();
    row.values[index]
}

#[tokio::test(flavor = "multi_thread")]
async fn every_call_of_a_short_load_gets_its_own_answer() {
    let experiment = LoadExperiment::parse("short.yaml", SHORT).unwrap();
    let report = load::run(&experiment).await.unwrap();
    for name in ["40/s engines", "40/s routers"] {
        let count = |column| value(&report, "Calls", name, column);
        assert!(count("due") > 0.0);
        assert_eq!(count("answered"), count("due"), "{}", report.to_text());
        assert_eq!(count("not own"), 0.0);
    }
    let first = value(
        &report,
        "Times",
        "40/s routers clinic urgent",
        "first p50 ms",
    );
    assert!(first > 0.0);
    let json: serde_json::Value = serde_json::from_str(&report.to_json()).unwrap();
    assert_eq!(json["name"], "short");
    assert!(report.to_svg().unwrap().contains("</svg>"));
}

#[test]
fn a_file_with_an_unknown_key_or_a_too_long_step_is_rejected() {
    let typo = SHORT.replace("seconds", "secconds");
    let error = LoadExperiment::parse("typo.yaml", &typo).unwrap_err();
    let text = format!("{:?}", miette::Report::new(error));
    assert!(text.contains("secconds"), "{text}");

    let endless = SHORT.replace("seconds: 2", "seconds: 86400");
    let error = LoadExperiment::parse("endless.yaml", &endless).unwrap_err();
    assert!(error.to_string().contains("seconds"), "{error}");
}

#[test]
fn the_committed_load_files_are_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments");
    let files = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap());
    let is_load = |name: &str| name.starts_with("load-");
    let paths: Vec<_> = files
        .filter(|file| file.file_name().to_str().is_some_and(is_load))
        .map(|file| file.path())
        .collect();
    assert!(!paths.is_empty());
    for path in paths {
        LoadExperiment::read(&path).unwrap();
    }
}
