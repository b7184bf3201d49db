//! Figures of a run, grouped by phase, class and workspace.

use super::OverloadExperiment;
use super::arrival_trace::ArrivalEntry;
use super::group_figures::GroupFigures;

/// Figures of one run, or the sum over several runs.
#[derive(Debug, Clone, Default)]
pub(super) struct RunFigures {
    /// By phase, according to the time of arrival.
    pub(super) phases: Vec<GroupFigures>,
    /// By class, over all phases.
    pub(super) classes: Vec<GroupFigures>,
    /// The first workspace, over all phases.
    pub(super) first_workspace: GroupFigures,
    /// All other workspaces, over all phases.
    pub(super) other_workspaces: GroupFigures,
    /// Answers in time, by second of the run.
    pub(super) answers_by_second: Vec<u64>,
}

impl RunFigures {
    /// Creates empty figures with the phases and classes of `experiment`.
    pub(super) fn new(experiment: &OverloadExperiment) -> Self {
        let seconds = experiment.duration().as_secs() as usize;
        Self {
            phases: vec![GroupFigures::default(); experiment.phases.len()],
            classes: vec![GroupFigures::default(); experiment.classes.len()],
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
        self.first_workspace.add(&other.first_workspace);
        self.other_workspaces.add(&other.other_workspaces);
        for (count, more) in self
            .answers_by_second
            .iter_mut()
            .zip(&other.answers_by_second)
        {
            *count += more;
        }
    }

    /// Applies `change` to all groups to which `entry` belongs.
    pub(super) fn update(&mut self, entry: &ArrivalEntry, change: impl Fn(&mut GroupFigures)) {
        change(&mut self.phases[entry.phase]);
        change(&mut self.classes[entry.class]);
        if entry.workspace == 0 {
            change(&mut self.first_workspace);
        } else {
            change(&mut self.other_workspaces);
        }
    }
}
