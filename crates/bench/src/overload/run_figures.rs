//! Figures of a whole run.

use super::OverloadExperiment;
use super::arrival_trace::ArrivalEntry;
use super::phase_figures::PhaseFigures;

/// Figures of one run, or of several that were added up.
#[derive(Debug, Clone, Default)]
pub(super) struct RunFigures {
    /// Per phase, by time of arrival.
    pub(super) phases: Vec<PhaseFigures>,
    /// Per class, over all phases.
    pub(super) classes: Vec<PhaseFigures>,
    /// The first workspace, over all phases.
    pub(super) large: PhaseFigures,
    /// All other workspaces.
    pub(super) modest: PhaseFigures,
    /// Answers per second of the run.
    pub(super) answers_by_second: Vec<u64>,
}

impl RunFigures {
    /// Empty figures.
    pub(super) fn new(experiment: &OverloadExperiment) -> Self {
        let seconds = experiment.duration().as_secs() as usize;
        Self {
            phases: vec![PhaseFigures::default(); experiment.phases.len()],
            classes: vec![PhaseFigures::default(); experiment.classes.len()],
            answers_by_second: vec![0; seconds],
            ..Self::default()
        }
    }

    /// Adds the figures of another run of the same experiment.
    pub(super) fn add(&mut self, other: &Self) {
        if self.phases.is_empty() {
            *self = other.clone();
            return;
        }
        for (phase, more) in self.phases.iter_mut().zip(&other.phases) {
            phase.add(more);
        }
        for (class, more) in self.classes.iter_mut().zip(&other.classes) {
            class.add(more);
        }
        self.large.add(&other.large);
        self.modest.add(&other.modest);
        for (count, more) in self
            .answers_by_second
            .iter_mut()
            .zip(&other.answers_by_second)
        {
            *count += more;
        }
    }

    /// Changes all figures that `entry` counts in.
    pub(super) fn update(&mut self, entry: &ArrivalEntry, change: impl Fn(&mut PhaseFigures)) {
        change(&mut self.phases[entry.phase]);
        change(&mut self.classes[entry.class]);
        if entry.workspace == 0 {
            change(&mut self.large);
        } else {
            change(&mut self.modest);
        }
    }
}
