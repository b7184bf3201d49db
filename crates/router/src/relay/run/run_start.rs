//! Choice of the stage of the rule's cascade at which a request starts.

use ferry_decisions::cascade::{
    SizeRange, StageFigures, StartChoice, StartQuery, StartReason, is_low_confidence,
};
use ferry_decisions::names::ServiceName;
use ferry_decisions::retry::RunState;
use ferry_decisions::workload::work_class;
use smallvec::SmallVec;

use super::RelayRun;
use super::run_placement::{PlacementQuery, choose_upstream};
use super::upstream_send::UpstreamAnswer;
use super::work_placement::{TimeCheck, request_size};

impl RelayRun {
    /// Chooses the start stage before the first send. Before a further one, returns to the first stage if the larger one can no longer finish
    /// in time and has not answered.
    pub(super) fn update_start_stage(&mut self) {
        if self.request.facts.model.is_some() || self.request.rule.cascade.is_empty() {
            return;
        }
        match self.start {
            None => {
                let choice = self.choose_start();
                self.start = Some(choice);
                self.record.start = Some(choice);
                if !self.is_explained {
                    self.record_start(choice);
                }
            }
            Some(start) => {
                let is_skipped = start.stage > 0 && start.reason != StartReason::RunsOnce;
                let has_answer = self.run == RunState::Ran;
                if is_skipped && !has_answer && self.stage == start.stage && !self.can_finish() {
                    self.stage = 0;
                }
            }
        }
    }

    /// Moves on to the stage at which the request starts.
    fn choose_start(&mut self) -> StartChoice {
        let rule = &self.request.rule;
        if !rule.run.is_repeatable() {
            // `model` returns the last model for such a rule, whatever the stage.
            return StartChoice::once(rule.cascade.len());
        }
        let service = self.service.clone();
        let Some(service) = service.filter(|_| self.core.load.is_sharing()) else {
            return StartChoice::FIRST;
        };
        if rule.cascade.len() < 2 {
            return StartChoice::FIRST;
        }
        let choice = self.compute_start(&service);
        self.stage = choice.stage;
        if choice.stage > 0 && !self.can_finish() {
            self.stage = 0;
            return StartChoice::FIRST;
        }
        choice
    }

    fn compute_start(&self, service: &ServiceName) -> StartChoice {
        let now = self.core.clock.now();
        let size = request_size(&self.request);
        let range = SizeRange::of(&size);
        let classes: SmallVec<[String; 3]> = (0..self.request.rule.cascade.len())
            .map(|stage| self.stage_class(stage))
            .collect();
        let works: SmallVec<[_; 3]> = self.core.load.with_model(service, |model| {
            let works = classes.iter().map(|class| model.estimate(class, &size));
            works.collect()
        });
        let rules = self.core.rules.load();
        let spec = rules.as_ref().and_then(|rules| rules.service(service));
        let cost = |stage: usize| {
            let model = &self.request.rule.cascade[stage];
            let mut costs = spec?.models.iter();
            Some(costs.find(|cost| cost.model == *model)?.cost)
        };
        let rates = self.core.start_stages.rates.lock();
        let figures = classes.iter().zip(works).enumerate();
        let stages: SmallVec<[StageFigures; 3]> = figures
            .map(|(stage, (class, work))| StageFigures {
                work,
                cost: cost(stage),
                drops: rates.share(class, range, now),
            })
            .collect();
        StartChoice::compute(&StartQuery {
            stages: &stages,
            is_repeatable: true,
            time_left: self.time_left(),
            pace: self.core.start_stages.pace(service, now),
            is_trial_due: rates.is_trial_due(&classes[0], range),
        })
    }

    /// Whether an upstream is expected to finish a run at the present stage in time.
    fn can_finish(&self) -> bool {
        let model = self.model();
        let Some(service) = self.service.as_ref() else {
            return false;
        };
        if self.request.time_left() < self.time_needed() {
            return false;
        }
        let pick = self.pick_version(service);
        let query = PlacementQuery {
            check: TimeCheck::Strict,
            ..self.placement_query(service, model.as_deref(), pick.as_ref())
        };
        choose_upstream(&self.core, &self.request, &query).is_ok()
    }

    fn record_start(&self, choice: StartChoice) {
        let rule = &self.request.rule;
        if choice.is_skip() {
            let range = SizeRange::of(&request_size(&self.request));
            let is_trial = choice.reason == StartReason::Trial;
            let mut rates = self.core.start_stages.rates.lock();
            rates.record_skip(&self.stage_class(0), range, is_trial);
        }
        if rule.cascade.len() > 1 {
            metrics::counter!("ferry_start_stages_total", "rule" => rule.name.to_string(), "stage" => choice.stage.to_string(), "reason" => choice.reason.as_str())
                .increment(1);
        }
    }

    /// Records whether the answer of the model of `stage` was kept, or dropped for a larger one.
    ///
    /// An answer of low confidence that is kept for want of time, retry budget or an upstream is not recorded: such requests run once.
    pub(super) fn record_judgement(&self, stage: usize, answer: &UpstreamAnswer, is_dropped: bool) {
        let rule = &self.request.rule;
        let is_judged = self.request.facts.model.is_none()
            && rule.run.is_repeatable()
            && answer.head.status.is_success()
            && stage + 1 < rule.cascade.len()
            && self.core.load.is_sharing();
        let Some(confidence) = answer.facts.confidence.filter(|_| is_judged) else {
            return;
        };
        if is_dropped || !is_low_confidence(confidence) {
            let range = SizeRange::of(&request_size(&self.request));
            let now = self.core.clock.now();
            let mut rates = self.core.start_stages.rates.lock();
            rates.record(&self.stage_class(stage), range, is_dropped, now);
        }
    }

    fn stage_class(&self, stage: usize) -> String {
        let rule = &self.request.rule;
        work_class(rule.name.as_str(), rule.cascade[stage].as_str())
    }
}
