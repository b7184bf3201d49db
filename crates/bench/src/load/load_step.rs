//! One step: calls that arrive at random times at a given rate, whether or not earlier ones ended.

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

/// Time between two looks at the routers' memory.
const SAMPLE_PERIOD: Duration = Duration::from_millis(200);
/// Looks between two lines of progress.
const LOOKS_PER_LINE: u32 = 25;

/// One step of a run.
#[derive(Debug, Clone)]
pub(super) struct LoadStep {
    /// Calls per second.
    pub(super) rate: f64,
    /// Where the calls go, in turn.
    pub(super) targets: Vec<SocketAddr>,
    /// Model asked for in place of the mix's own.
    pub(super) model: Option<&'static str>,
    pub(super) usage: UsageSource,
}

impl LoadStep {
    /// Plays the step and waits for the last answer.
    pub(super) async fn play(&self, experiment: &LoadExperiment) -> LoadFigures {
        let figures = Arc::new(Mutex::new(LoadFigures::default()));
        let places = Arc::new(Semaphore::new(experiment.most_open));
        let cpu = self.usage.cpu_seconds();
        let begun = Instant::now();
        figures.lock().resident_before = self.usage.resident_bytes();
        let watch = self.watch(experiment.most_open, &places, &figures);
        tokio::select! {
            () = watch => {}
            () = self.send_all(experiment, &places, &figures) => {}
        }
        let mut figures = std::mem::take(&mut *figures.lock());
        figures.cpu_seconds = self.usage.cpu_seconds() - cpu;
        figures.seconds = begun.elapsed().as_secs_f64();
        figures
    }

    async fn send_all(
        &self,
        experiment: &LoadExperiment,
        places: &Arc<Semaphore>,
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
            let part = draw(&experiment.mix, random.random());
            sleep_until(due).await;
            figures.lock().due += 1;
            let Ok(place) = Arc::clone(places).try_acquire_owned() else {
                figures.lock().unsent += 1;
                continue;
            };
            let call = self.call(part, experiment.seed, index);
            let (http, figures, name) = (http.clone(), Arc::clone(figures), stream_name(part));
            calls.spawn(async move {
                let outcome = call.send(&http, due).await;
                drop(place);
                figures.lock().note(&name, outcome);
            });
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    fn call(&self, part: &LoadStream, seed: u64, index: usize) -> LoadCall {
        let target = self.targets[index % self.targets.len()];
        let mut call = LoadCall::new(part, target, seed, index);
        if let Some(model) = self.model {
            model.clone_into(&mut call.model);
        }
        call
    }

    /// Notes the largest memory until it is dropped.
    async fn watch(&self, most: usize, places: &Semaphore, figures: &Mutex<LoadFigures>) {
        let mut ticks = interval(SAMPLE_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for look in 1_u32.. {
            ticks.tick().await;
            let open = most - places.available_permits();
            let resident = self.usage.resident_bytes();
            let mut figures = figures.lock();
            if resident > figures.resident {
                figures.resident = resident;
                figures.open = open;
            }
            if look.is_multiple_of(LOOKS_PER_LINE) {
                let LoadFigures { due, answered, .. } = &*figures;
                eprintln!(
                    "{} calls/s: {answered} of {due} answered, {open} open",
                    self.rate
                );
            }
        }
    }
}

/// Name under which the figures of `part` are kept.
fn stream_name(part: &LoadStream) -> String {
    format!("{} {}", part.workspace, part.class.name())
}

/// The stream of `mix` at `point`, which lies from 0 to 1.
fn draw(mix: &[LoadStream], point: f64) -> &LoadStream {
    let all: f64 = mix.iter().map(|part| part.weight).sum();
    let mut left = point * all;
    for part in mix {
        left -= part.weight;
        if left < 0.0 {
            return part;
        }
    }
    &mix[mix.len() - 1]
}
