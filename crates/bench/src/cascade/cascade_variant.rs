//! Policies for choosing stages.

use ferry_decisions::closed_set;

closed_set! {
    /// A policy for choosing stages.
    pub enum CascadeVariant {
        /// Only the last stage, which is the most expensive.
        AlwaysStrong,
        /// Starts at the first stage and escalates; an answer without a rating counts as bad.
        CheapFirst,
        /// Chooses the stage by pass rates that each router counts on its own.
        ChosenAlone,
        /// Chooses the stage by pass rates that are pooled over all routers.
        ChosenPooled,
    }
}

impl CascadeVariant {
    /// Name in reports.
    pub fn label(self) -> &'static str {
        match self {
            Self::AlwaysStrong => "always strong",
            Self::CheapFirst => "always cheap first",
            Self::ChosenAlone => "chosen, each alone",
            Self::ChosenPooled => "chosen, pooled",
        }
    }
}
