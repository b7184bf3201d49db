//! Phases of a roll-out, in the order in which they follow one another.

closed_set! {
    /// How much of the traffic the new version gets.
    pub enum RolloutPhase {
        /// A small part of the conversations that begin.
        Canary,
        /// A larger part, once the small one was answered well.
        Ramp,
        /// All of it.
        Full,
        /// All of it, for good: the old version ends.
        Completed,
        /// None of it, for good.
        Reverted,
    }
}

/// Multiple of the old versions' time from which on an answer is slow while they answer beside it.
const SLOW_BESIDE: f64 = 3.5;
/// The same once the new version has all the traffic, and so more load than they had.
const SLOW_ALONE: f64 = 6.5;

impl RolloutPhase {
    /// Whether a request that the new version failed goes back to an old one.
    ///
    /// Not once all conversations are to stay on the new version: a single failure is no reason
    /// to move one back, and harm over all of them ends the roll-out.
    pub fn spares_failed(self) -> bool {
        match self {
            Self::Canary | Self::Ramp | Self::Reverted => true,
            Self::Full | Self::Completed => false,
        }
    }

    /// Multiple of the old versions' usual time from which on an answer counts as slow.
    pub fn slow_factor(self) -> f64 {
        match self {
            Self::Canary | Self::Ramp => SLOW_BESIDE,
            Self::Full | Self::Completed | Self::Reverted => SLOW_ALONE,
        }
    }

    /// Whether the roll-out has ended.
    pub fn is_final(self) -> bool {
        match self {
            Self::Completed | Self::Reverted => true,
            Self::Canary | Self::Ramp | Self::Full => false,
        }
    }

    /// Whether `next` may follow.
    pub fn may_become(self, next: Self) -> bool {
        !self.is_final() && self < next
    }
}
