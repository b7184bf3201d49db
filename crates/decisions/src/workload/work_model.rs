//! Learns the expected time of runs from observed ones.

use std::collections::HashMap;
use std::time::Duration;

use super::latency_model::LatencyModel;
use super::output_sizes::OutputSizes;
use super::run_speed::RunSpeed;
use super::upstream_work::SLOWNESS_BOUNDS;
use super::{RequestSize, RunObservation, WorkEstimate};
use crate::time::{MonotonicTime, nearest_span};

/// Time in which the weight of an observation halves.
const HALF_LIFE: Duration = Duration::from_secs(120);
/// Minimum time between two updates of the weights of a class.
const DECAY_STEP: Duration = Duration::from_secs(1);
/// Decayed number of runs below which a class counts as unknown.
const MIN_WEIGHT: f64 = 3.0;
/// Maximum number of classes, and of rules and models, that are kept.
const MAX_CLASSES: usize = 256;
/// Events from which the slowness is computed from the body alone, since the head contains waiting.
const EVENTS_OF_BODY: u32 = 4;
/// Separates rule and model in the name of a class.
const SEPARATOR: char = '\n';

/// Class of the requests of `rule` that `model` runs.
pub fn work_class(rule: &str, model: &str) -> String {
    format!("{rule}{SEPARATOR}{model}")
}

/// Expected time of the runs of one service, by class.
///
/// The sizes of answers are kept by class and by rule, the speeds by class and by model: a class with few runs takes the sizes of
/// its rule and the speed of its model.
#[derive(Debug, Clone)]
pub struct WorkModel {
    /// Answer tokens per stream event.
    stride: f64,
    classes: HashMap<String, ClassWork>,
    rules: HashMap<String, ClassWork>,
    models: HashMap<String, ClassWork>,
    /// Usual time to the head by class, which is also known of services without prompts or stream events.
    heads: LatencyModel,
}

/// What is known of a class, a rule or a model.
#[derive(Debug, Clone, Default)]
struct ClassWork {
    sizes: OutputSizes,
    speed: RunSpeed,
    /// Time up to which the weights are decayed.
    decayed_to: MonotonicTime,
    /// Time of the newest run.
    newest: MonotonicTime,
}

/// What an estimate of a class is computed from.
#[derive(Debug, Clone, Copy)]
struct KnownClass<'a> {
    sizes: &'a OutputSizes,
    speed: &'a RunSpeed,
}

impl Default for WorkModel {
    fn default() -> Self {
        Self::new(1)
    }
}

impl WorkModel {
    /// A model of a service whose stream events carry `stride` answer tokens each.
    pub fn new(stride: u32) -> Self {
        Self {
            stride: f64::from(stride.max(1)),
            classes: HashMap::new(),
            rules: HashMap::new(),
            models: HashMap::new(),
            heads: LatencyModel::default(),
        }
    }

    /// Records a run of `class` (rule and model) at an upstream that takes `slowness` times the usual time.
    ///
    /// `slowness` includes the factor for the batch that the run was in ([`WorkChoice::batch_factor`](super::WorkChoice::batch_factor)).
    pub fn record(&mut self, class: &str, run: &RunObservation, slowness: f64, now: MonotonicTime) {
        let slowness = bounded_slowness(slowness);
        let hinted = self.hinted_events(&run.size);
        let (rule, model) = class.split_once(SEPARATOR).unzip();
        for (works, name) in [
            (&mut self.classes, Some(class)),
            (&mut self.rules, rule),
            (&mut self.models, model),
        ] {
            if let Some(name) = name {
                entry(works, name, now).record(run, hinted, slowness, now);
            }
        }
    }

    /// Observed time of a run as a multiple of the expected one; `None` until the class is known.
    ///
    /// It includes the factor for the batch, by which the caller divides it to get the slowness of the upstream alone.
    pub fn slowness(&self, class: &str, run: &RunObservation) -> Option<f64> {
        let speed = self.known(class)?.speed;
        let mut expected = speed.pace_s() * f64::from(run.events);
        let mut observed = run.body;
        if run.events < EVENTS_OF_BODY {
            expected += speed.head_s(run.size.prompt_tokens);
            observed += run.head;
        }
        (expected > 0.0).then(|| bounded_slowness(observed.as_secs_f64() / expected))
    }

    /// Expected time; `None` until the class is known.
    pub fn estimate(&self, class: &str, size: &RequestSize) -> Option<WorkEstimate> {
        let known = self.known(class)?;
        let events = known.sizes.distribution(self.hinted_events(size))?;
        let (mut mean, mut high) = (events.mean(), events.high());
        if size.answer_limit > 0 {
            let limit = (f64::from(size.answer_limit) / self.stride).max(1.0);
            mean = events.mean_below(limit);
            high = high.min(limit);
        }
        let pace = known.speed.pace_s();
        Some(WorkEstimate {
            head: nearest_span(known.speed.head_s(size.prompt_tokens)),
            body: nearest_span(mean * pace),
            body_high: nearest_span(high.max(mean) * pace),
        })
    }

    /// Records the time to the head of any response of `class`; returns it as a multiple of the usual time before, or `None` while that is
    /// not known.
    pub fn record_head(&mut self, class: &str, took: Duration, prompt_tokens: u32) -> Option<f64> {
        let ratio = self.heads.ratio(class, took, prompt_tokens);
        self.heads.record(class, took, prompt_tokens);
        ratio
    }

    /// Usual time to the head of a response of `class`; `None` until enough responses are recorded.
    ///
    /// In contrast to the head of [`WorkModel::estimate`], it contains the usual waits, and it is known from the heads alone.
    pub fn usual_head(&self, class: &str, prompt_tokens: u32) -> Option<Duration> {
        self.heads.expected(class, prompt_tokens)
    }

    /// Time to the head that does not depend on the prompt; `None` until the class is known.
    pub fn fixed_head(&self, class: &str) -> Option<Duration> {
        let speed = self.known(class)?.speed;
        Some(nearest_span(speed.head_s(0)))
    }

    /// Expected time per stream event; `None` until the class is known.
    pub fn pace(&self, class: &str) -> Option<Duration> {
        let speed = self.known(class)?.speed;
        Some(nearest_span(speed.pace_s()))
    }

    /// Forgets the usual time to the head of `class`.
    pub fn forget_head(&mut self, class: &str) {
        self.heads.forget(class);
    }

    /// Forgets what was learned of `class`, its rule and its model.
    pub fn forget(&mut self, class: &str) {
        self.forget_head(class);
        self.classes.remove(class);
        if let Some((rule, model)) = class.split_once(SEPARATOR) {
            self.rules.remove(rule);
            self.models.remove(model);
        }
    }

    /// Number of classes that are kept.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    fn hinted_events(&self, size: &RequestSize) -> Option<f64> {
        let hint = size.hint.filter(|tokens| *tokens > 0)?;
        Some((f64::from(hint) / self.stride).max(1.0))
    }

    /// What is known of `class`, else of its rule and of its model.
    fn known(&self, class: &str) -> Option<KnownClass<'_>> {
        let own = self.classes.get(class);
        let (rule, model) = class.split_once(SEPARATOR).unzip();
        let rule = rule.and_then(|rule| self.rules.get(rule));
        let model = model.and_then(|model| self.models.get(model));
        let works = |shared| [own, shared].into_iter().flatten();
        let mut sizes = works(rule).map(|work| &work.sizes);
        let mut speeds = works(model).map(|work| &work.speed);
        Some(KnownClass {
            sizes: sizes.find(|sizes| sizes.weight() >= MIN_WEIGHT)?,
            speed: speeds.find(|speed| speed.weight() >= MIN_WEIGHT)?,
        })
    }
}

impl ClassWork {
    fn record(
        &mut self,
        run: &RunObservation,
        hinted: Option<f64>,
        slowness: f64,
        now: MonotonicTime,
    ) {
        let age = now.since(self.decayed_to);
        if age >= DECAY_STEP {
            let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
            self.sizes.decay(factor);
            self.speed.decay(factor);
            self.decayed_to = now;
        }
        self.newest = now;
        self.sizes.record(hinted, run.events, run.is_complete);
        if run.events > 0 {
            let head = run.head.div_f64(slowness);
            let body = run.body.as_secs_f64() / slowness;
            let tokens = run.size.prompt_tokens;
            self.speed.record(tokens, head, run.events, body);
        }
    }
}

/// The entry of `name`; a new one replaces the one with the oldest run when the maximum is reached.
fn entry<'a>(
    works: &'a mut HashMap<String, ClassWork>,
    name: &str,
    now: MonotonicTime,
) -> &'a mut ClassWork {
    if !works.contains_key(name) && works.len() >= MAX_CLASSES {
        let oldest = works.iter().min_by_key(|(_, work)| work.newest);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            works.remove(&oldest);
        }
    }
    if !works.contains_key(name) {
        let work = ClassWork {
            decayed_to: now,
            ..ClassWork::default()
        };
        works.insert(name.to_owned(), work);
    }
    works.get_mut(name).expect("the entry was inserted above")
}

fn bounded_slowness(slowness: f64) -> f64 {
    match slowness.is_finite() {
        true => slowness.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1),
        false => 1.0,
    }
}
