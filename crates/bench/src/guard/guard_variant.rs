//! Policies for stopping a roll-out.

use ferry_decisions::closed_set;
use ferry_decisions::config::RolloutSpec;
use ferry_decisions::guard::GuardPolicy;

closed_set! {
    /// A policy for stopping a roll-out.
    pub enum GuardVariant {
        /// The roll-out is never stopped.
        NoGuard,
        /// Each router tests only the answers that it served and stops only itself.
        Alone,
        /// As `alone`, and each router has an equal share of the limit on unrated answers.
        AloneCapped,
        /// Each router tests only the answers that it served; the first trip stops all routers
        /// through the log.
        AloneLogged,
        /// Routers pool their evidence; unrated answers are not limited.
        Pooled,
        /// Routers pool their evidence; the full limit on unrated answers applies from the start.
        PooledCapped,
        /// Routers pool their evidence; the limit on unrated answers grows with the number of good
        /// ones.
        PooledRamped,
        /// As `pooled_ramped`, but the test assumes that the version was bad from its first answer
        /// and does not look for a later change.
        PooledFixedStart,
    }
}

impl GuardVariant {
    /// Name in reports.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoGuard => "no guard",
            Self::Alone => "each alone",
            Self::AloneCapped => "each alone, capped",
            Self::AloneLogged => "each alone, trip by log",
            Self::Pooled => "pooled, no cap",
            Self::PooledCapped => "pooled, capped",
            Self::PooledRamped => "pooled, capped, ramped",
            Self::PooledFixedStart => "the same, fixed start",
        }
    }

    /// Whether routers exchange their evidence.
    pub(super) fn pools_evidence(self) -> bool {
        match self {
            Self::Pooled | Self::PooledCapped | Self::PooledRamped | Self::PooledFixedStart => true,
            Self::NoGuard | Self::Alone | Self::AloneCapped | Self::AloneLogged => false,
        }
    }

    /// Whether a trip reaches the other routers through the log.
    pub(super) fn logs_trips(self) -> bool {
        self.pools_evidence() || self == Self::AloneLogged
    }

    pub(super) fn policy(self) -> GuardPolicy {
        let ramped = matches!(self, Self::PooledRamped | Self::PooledFixedStart);
        let base = GuardPolicy::default();
        GuardPolicy {
            ramp_start: if ramped { base.ramp_start } else { u32::MAX },
            detect_change: self != Self::PooledFixedStart,
            ..base
        }
    }

    /// The roll-out specification that each of `routers` routers applies under this policy.
    pub(super) fn rollout(self, rollout: &RolloutSpec, routers: usize) -> RolloutSpec {
        let unrated_limit = match self {
            Self::NoGuard | Self::Alone | Self::AloneLogged | Self::Pooled => u32::MAX,
            Self::AloneCapped => rollout.unrated_limit / routers as u32,
            Self::PooledCapped | Self::PooledRamped | Self::PooledFixedStart => {
                rollout.unrated_limit
            }
        };
        RolloutSpec {
            unrated_limit,
            ..rollout.clone()
        }
    }
}
