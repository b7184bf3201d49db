//! Phases of a roll-out, in chronological order.

closed_set! {
    /// Share of the traffic that the new version gets.
    pub enum RolloutPhase {
        /// No traffic yet. Routers report the ongoing conversations that the canary share would move.
        Announced,
        /// A small share of new conversations.
        Canary,
        /// The canary share, still; routers of an older version may store it.
        Ramp,
        /// All traffic; the roll-out can still be reverted.
        Full,
        /// All traffic, as a final state: the old version ends.
        Completed,
        /// No traffic, as a final state.
        Reverted,
    }
}

/// Multiple of the old versions' usual time to the head at which an answer is slow while both versions have
/// traffic.
const SLOW_FACTOR_SHARED_TRAFFIC: f64 = 3.5;
/// Same multiple once the new version has all traffic, and so more load than the old ones had.
const SLOW_FACTOR_FULL_TRAFFIC: f64 = 6.5;
/// Multiple of the pause within an undisturbed stream of the old versions at which a stream is slow while both versions have
/// traffic.
const SLOW_PACE_SHARED_TRAFFIC: f64 = 2.5;
/// Same multiple once the new version has all traffic.
const SLOW_PACE_FULL_TRAFFIC: f64 = 3.5;

impl RolloutPhase {
    /// Whether a request that failed on the new version is retried on an old one.
    ///
    /// False once the new version has all traffic: a single failure is no reason to move a
    /// conversation back, and harm found in the pooled counts ends the roll-out.
    pub fn retries_on_old_version(self) -> bool {
        match self {
            Self::Announced | Self::Canary | Self::Ramp | Self::Reverted => true,
            Self::Full | Self::Completed => false,
        }
    }

    /// Multiple of the old versions' usual time at which an answer counts as slow.
    pub fn slow_factor(self) -> f64 {
        match self {
            Self::Announced | Self::Canary | Self::Ramp => SLOW_FACTOR_SHARED_TRAFFIC,
            Self::Full | Self::Completed | Self::Reverted => SLOW_FACTOR_FULL_TRAFFIC,
        }
    }

    /// Multiple of the pause within an undisturbed stream at which a stream counts as slow.
    pub fn slow_pace_factor(self) -> f64 {
        match self {
            Self::Announced | Self::Canary | Self::Ramp => SLOW_PACE_SHARED_TRAFFIC,
            Self::Full | Self::Completed | Self::Reverted => SLOW_PACE_FULL_TRAFFIC,
        }
    }

    /// Whether the roll-out has ended in this phase.
    pub fn is_final(self) -> bool {
        match self {
            Self::Completed | Self::Reverted => true,
            Self::Announced | Self::Canary | Self::Ramp | Self::Full => false,
        }
    }

    /// Whether a change to `next` is valid: phases never go back, and a final phase never changes.
    pub fn may_become(self, next: Self) -> bool {
        !self.is_final() && self < next
    }
}
