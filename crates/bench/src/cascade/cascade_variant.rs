//! Policies for choosing stages.

use ferry_decisions::closed_set;

closed_set! {
    /// A policy for choosing stages.
    pub enum CascadeVariant {
        /// The last stage only.
        AlwaysStrong,
        /// From the first stage on; an answer without a rating counts as bad.
        CheapFirst,
        /// By pass rates that each router counts on its own.
        ChosenAlone,
        /// By pooled pass rates.
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
