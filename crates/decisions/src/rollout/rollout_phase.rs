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

impl RolloutPhase {
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
