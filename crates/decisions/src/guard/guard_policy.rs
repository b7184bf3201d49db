//! Parameters of the guard that operators do not set per roll-out.

/// Parameters shared by every router of a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GuardPolicy {
    /// Probability that the test of one router stops a version whose share of bad answers is
    /// exactly the tolerated one, over the whole roll-out.
    pub false_stop: f64,
    /// Unrated answers allowed fleet-wide before any answer is rated good. The number grows by
    /// one with each good answer, up to the limit of the roll-out. It is at least one for each
    /// router, within that limit.
    pub ramp_start: u32,
    /// Whether the test also detects a version that turns bad after its first answer.
    pub detect_change: bool,
}

impl Default for GuardPolicy {
    fn default() -> Self {
        Self {
            false_stop: 0.005,
            ramp_start: 1,
            detect_change: true,
        }
    }
}
