//! One step of an open-loop load: calls arrive at random times at a given rate, whether or not
//! earlier calls have ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ferry_kernel::http::HttpClient;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

use super::load_call::LoadCall;
use super::load_figures::LoadFigures;
use super::process_usage::UsageSource;
use super::{LoadExperiment, LoadStream};

/// Interval at which the memory of the routers is sampled.
const SAMPLE_PERIOD: Duration = Duration::from_millis(200);
/// Memory samples between two progress lines.
const SAMPLES_PER_PROGRESS_LINE: u32 = 25;

/// Parameters of one step.
#[derive(Debug, Clone)]
pub(super) struct LoadStep {
    /// Calls per second.
    pub(super) rate: f64,
    /// Addresses that receive the calls in turn.
    pub(super) targets: Vec<SocketAddr>,
    /// Model to request instead of the model of the stream.
    pub(super) model: Option<&'static str>,
    pub(super) usage: UsageSource,
}

impl LoadStep {
    /// Runs the step and waits for the last answer.
    pub(super) async fn run(&self, experiment: &LoadExperiment) -> LoadFigures {
        let figures = Arc::new(Mutex::new(LoadFigures::default()));
        let permits = Arc::new(Semaphore::new(experiment.most_open));
        let cpu = self.usage.cpu_seconds();
        let started = Instant::now();
        figures.lock().resident_before = self.usage.resident_bytes();
        let monitor = self.monitor(experiment.most_open, &permits, &figures);
        tokio::select! {
            () = monitor => {}
            () = self.send_all(experiment, &permits, &figures) => {}
        }
        let mut figures = std::mem::take(&mut *figures.lock());
        figures.cpu_seconds = self.usage.cpu_seconds() - cpu;
        figures.seconds = started.elapsed().as_secs_f64();
        figures
    }

    async fn send_all(
        &self,
        experiment: &LoadExperiment,
        permits: &Arc<Semaphore>,
        figures: &Arc<Mutex<LoadFigures>>,
    ) {
        let http = HttpClient::default();
        let mut random = StdRng::seed_from_u64(experiment.seed);
        let mut calls = JoinSet::new();
        let mut due = Instant::now();
        let end = due + Duration::from_secs(experiment.seconds);
        for index in 0.. {
            due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / self.rate);
            if due >= end {
                break;
            }
            let stream = draw(&experiment.mix, random.random());
            sleep_until(due).await;
            figures.lock().due += 1;
            let Ok(permit) = Arc::clone(permits).try_acquire_owned() else {
                figures.lock().unsent += 1;
                continue;
            };
            let call = self.call(stream, experiment.seed, index);
            let (http, figures, name) = (http.clone(), Arc::clone(figures), stream_name(stream));
            calls.spawn(async move {
                let outcome = call.send(&http, due).await;
                drop(permit);
                figures.lock().record(&name, outcome);
            });
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    fn call(&self, stream: &LoadStream, seed: u64, index: usize) -> LoadCall {
        let target = self.targets[index % self.targets.len()];
        let mut call = LoadCall::new(stream, target, seed, index);
        if let Some(model) = self.model {
            model.clone_into(&mut call.model);
        }
        call
    }

    /// Records the maximum memory and prints progress until the future is dropped.
    async fn monitor(&self, most_open: usize, permits: &Semaphore, figures: &Mutex<LoadFigures>) {
        let mut ticks = interval(SAMPLE_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for sample in 1_u32.. {
            ticks.tick().await;
            let open = most_open - permits.available_permits();
            let resident = self.usage.resident_bytes();
            let mut figures = figures.lock();
            if resident > figures.peak_resident {
                figures.peak_resident = resident;
                figures.open_at_peak = open;
            }
            if sample.is_multiple_of(SAMPLES_PER_PROGRESS_LINE) {
                let LoadFigures { due, answered, .. } = &*figures;
                eprintln!(
                    "{} calls/s: {answered} of {due} answered, {open} in progress",
                    self.rate
                );
            }
        }
    }
}

/// Name of `stream` in the report: workspace and class.
fn stream_name(stream: &LoadStream) -> String {
    format!("{} {}", stream.workspace, stream.class.name())
}

/// Selects a stream of `mix` by weight; `point` is from 0 to 1.
fn draw(mix: &[LoadStream], point: f64) -> &LoadStream {
    let all: f64 = mix.iter().map(|stream| stream.weight).sum();
    let mut remaining = point * all;
    for stream in mix {
        remaining -= stream.weight;
        if remaining < 0.0 {
            return stream;
        }
    }
    &mix[mix.len() - 1]
}
