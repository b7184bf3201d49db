//! Decides for how long a stream may pause before it is resumed at another upstream.

use std::time::Duration;

/// Multiple of the rule's longest event gap after which a silent upstream counts as hanging.
const SILENCE_FACTOR: u32 = 4;
/// Largest fraction of the time left for which a stream that can be resumed elsewhere may pause.
const MAX_PAUSE_FRACTION: f64 = 0.35;
/// Least pause after which a stream is resumed elsewhere, as a fraction of the rule's longest event gap: sound upstreams pause too.
const MIN_PAUSE_FRACTION: f64 = 0.5;

/// How long a silent upstream is waited for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SilencePatience {
    /// While enough time is left for another upstream.
    #[default]
    Short,
    /// Until it counts as hanging, since the stream could not be resumed elsewhere.
    Usual,
    /// Until the rule's timeout, since it could still not be resumed then.
    Unlimited,
}

/// What the wait for the next event of a stream depends on, besides the time left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamPause {
    /// Longest gap between two events that the rule expects, if it names one.
    pub event_gap: Option<Duration>,
    /// Whether another upstream can resume the stream.
    pub is_resumable: bool,
    /// Timeout of the rule.
    pub timeout: Duration,
}

impl StreamPause {
    /// Time without a complete event after which the upstream counts as silent, `time_left` before the caller gives up: a multiple of the event gap
    /// if the stream can be resumed elsewhere, less if no time would be left for that, else the rule's timeout.
    pub fn limit(&self, patience: SilencePatience, time_left: Duration) -> Duration {
        let (true, Some(gap)) = (self.is_resumable, self.event_gap) else {
            return self.timeout;
        };
        let usual = gap * SILENCE_FACTOR;
        match patience {
            SilencePatience::Short => {
                let most = time_left.mul_f64(MAX_PAUSE_FRACTION);
                usual.min(most.max(gap.mul_f64(MIN_PAUSE_FRACTION)))
            }
            SilencePatience::Usual => usual,
            SilencePatience::Unlimited => self.timeout,
        }
    }

    /// Whether an upstream that has been silent for `silence` hangs, and does not just pause.
    pub fn is_hanging(&self, silence: Duration) -> bool {
        self.event_gap
            .is_none_or(|gap| silence >= gap * SILENCE_FACTOR)
    }

    /// Patience with an upstream that has been silent for `silence`, and whose stream no other upstream resumes.
    pub fn longer_patience(&self, silence: Duration) -> SilencePatience {
        match self.is_hanging(silence) {
            true => SilencePatience::Unlimited,
            false => SilencePatience::Usual,
        }
    }
}
