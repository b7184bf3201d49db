//! Command line of `ferry-bench`.

use std::path::PathBuf;

use crate::bench_error::BenchError;
use crate::capacity;
use crate::experiment;
use crate::load::{self, LoadExperiment};
use crate::report::ExperimentReport;

mod flags {
    #![allow(missing_docs, clippy::needless_pass_by_value)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs experiments and prints the results of each policy.
        cmd ferry-bench {
            /// Simulates the decision core on a virtual clock.
            cmd decide {
                /// Experiment file (YAML).
                required file: PathBuf
                /// Writes all figures to this file as JSON.
                optional --json path: PathBuf
                /// Writes the plot to this file as SVG.
                optional --svg path: PathBuf
            }
            /// Sends requests to real routers over loopback at a given rate.
            cmd load {
                /// Load file (YAML).
                required file: PathBuf
                /// Writes all figures to this file as JSON.
                optional --json path: PathBuf
                /// Writes the plot to this file as SVG.
                optional --svg path: PathBuf
            }
            /// Measures time and memory of the state whose size grows with the deployment.
            cmd capacity {
                /// Writes all figures to this file as JSON.
                optional --json path: PathBuf
                /// Writes the plot to this file as SVG.
                optional --svg path: PathBuf
            }
        }
    }
}

/// Exit code when an experiment cannot be run.
const FAILED_EXIT: i32 = 1;

/// Runs the tool on the arguments of the process and exits.
pub fn main() -> ! {
    let flags = flags::FerryBench::from_env_or_exit();
    let outcome = match flags.subcommand {
        flags::FerryBenchCmd::Decide(decide) => decide_file(&decide),
        flags::FerryBenchCmd::Load(load) => load_file(&load),
        flags::FerryBenchCmd::Capacity(capacity) => measure_capacity(&capacity),
    };
    match outcome {
        Ok(()) => std::process::exit(0),
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            std::process::exit(FAILED_EXIT)
        }
    }
}

fn decide_file(flags: &flags::Decide) -> Result<(), BenchError> {
    let report = experiment::run_file(&flags.file)?;
    print!("{}", report.to_text());
    write_files(&report, flags.json.as_ref(), flags.svg.as_ref())
}

fn load_file(flags: &flags::Load) -> Result<(), BenchError> {
    let experiment = LoadExperiment::read(&flags.file)?;
    let runtime = tokio::runtime::Runtime::new().map_err(BenchError::ThreadsUnavailable)?;
    let report = runtime.block_on(load::run(&experiment))?;
    print!("{}", report.to_text());
    write_files(&report, flags.json.as_ref(), flags.svg.as_ref())
}

fn measure_capacity(flags: &flags::Capacity) -> Result<(), BenchError> {
    let report = capacity::measure();
    print!("{}", report.to_text());
    write_files(&report, flags.json.as_ref(), flags.svg.as_ref())
}

fn write_files(
    report: &ExperimentReport,
    json: Option<&PathBuf>,
    svg: Option<&PathBuf>,
) -> Result<(), BenchError> {
    if let Some(path) = json {
        std::fs::write(path, report.to_json()).map_err(|e| BenchError::unwritable(path, &e))?;
    }
    if let Some(path) = svg {
        std::fs::write(path, report.to_svg()?).map_err(|e| BenchError::unwritable(path, &e))?;
    }
    Ok(())
}
