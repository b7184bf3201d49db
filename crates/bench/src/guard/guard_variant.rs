//! Ways of stopping a roll-out.

use ferry_decisions::closed_set;
use ferry_decisions::config::RolloutSpec;
use ferry_decisions::guard::GuardPolicy;

closed_set! {
    /// A way of stopping a roll-out.
    pub enum GuardVariant {
        /// Nothing stops it.
        NoGuard,
        /// Each router tests what it served itself and stops only itself.
        Alone,
        /// The same, with each router's share of the limit on unrated answers.
        AloneCapped,
        /// Each router tests what it served itself; the first trip stops all through the log.
        AloneLogged,
        /// Evidence is pooled; unrated answers are not bounded.
        Pooled,
        /// Evidence is pooled and unrated answers are bounded, with the limit open from the start.
        PooledCapped,
        /// Evidence is pooled, unrated answers are bounded, and the bound opens with good answers.
        PooledRamped,
        /// As `pooled_ramped`, but the test only asks whether the version was bad from its first answer.
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

    /// Whether routers exchange what they know.
    pub(super) fn pools(self) -> bool {
        match self {
            Self::Pooled | Self::PooledCapped | Self::PooledRamped | Self::PooledFixedStart => true,
            Self::NoGuard | Self::Alone | Self::AloneCapped | Self::AloneLogged => false,
        }
    }

    /// Whether a trip reaches the other routers through the log.
    pub(super) fn logs_trips(self) -> bool {
        self.pools() || self == Self::AloneLogged
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

    /// Bounds that one router works under, when `routers` share `rollout`.
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
