//! How far a topic of the store is known here, and since when.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ferry_decisions::topic::{StoreEra, TopicPosition};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::confirmation_time::ConfirmationTime;

/// Time for which requests wait for a confirmation that is overdue. All that wait at the same time share it, so that a long outage delays none.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// What is known here of one topic, whether it was read from the store or came from another router.
#[derive(Debug, Default)]
pub struct TopicProgress {
    /// Holds confirmations back until their era was checked; absent for a topic whose eras need no check.
    era_gate: Option<EraGate>,
    /// All records before this position are applied here; absent while nothing is known of the topic.
    position: Mutex<Option<TopicPosition>>,
    /// When the store certainly held no record beyond those that are applied here.
    confirmed: ConfirmationTime,
    /// Whether the newest record cannot be read, so that what is in force here is not what the store holds.
    is_unreadable: AtomicBool,
    /// When the first request began to wait for the next confirmation.
    overdue_since: Mutex<Option<Instant>>,
    /// Signal of a confirmation.
    confirmations: Notify,
}

/// Confirmations that wait until it is known whether other routers have newer records in force than the store has in this era.
#[derive(Debug, Default)]
struct EraGate {
    state: Mutex<EraGateState>,
    /// Signal of a confirmation that waits.
    waiting: Notify,
}

#[derive(Debug, Default)]
struct EraGateState {
    /// Era that was checked last.
    checked: Option<StoreEra>,
    /// Latest confirmation of another era.
    waiting: Option<(StoreEra, Duration)>,
}

impl EraGate {
    /// Whether a confirmation of `era` takes effect; if not, it is kept until the era is checked.
    fn admits(&self, era: StoreEra, moment: Duration) -> bool {
        let mut state = self.state.lock();
        if state.checked == Some(era) {
            return true;
        }
        state.waiting = state.waiting.max(Some((era, moment)));
        self.waiting.notify_one();
        false
    }

    /// Records that `era` was checked; returns the confirmation of it that waited, if there is one.
    fn set_checked(&self, era: StoreEra) -> Option<Duration> {
        let mut state = self.state.lock();
        state.checked = Some(era);
        let waited = state.waiting.take_if(|(waiting, _)| *waiting <= era);
        waited.and_then(|(waiting, moment)| (waiting == era).then_some(moment))
    }

    async fn wait(&self) -> StoreEra {
        loop {
            if let Some((era, _)) = self.state.lock().waiting {
                return era;
            }
            self.waiting.notified().await;
        }
    }
}

impl TopicProgress {
    /// Progress of a topic whose confirmations wait until their era was checked.
    pub fn with_era_checks() -> Self {
        Self {
            era_gate: Some(EraGate::default()),
            ..Self::default()
        }
    }

    /// Waits for a confirmation that waits for the check of its era, and returns the era; for ever if no era needs one.
    pub async fn wait_for_unchecked_era(&self) -> StoreEra {
        match &self.era_gate {
            Some(gate) => gate.wait().await,
            None => std::future::pending().await,
        }
    }

    /// Whether an era was checked, or none needs it: until then nothing counts as confirmed.
    pub fn has_checked_era(&self) -> bool {
        let gate = self.era_gate.as_ref();
        gate.is_none_or(|gate| gate.state.lock().checked.is_some())
    }

    /// Records that `era` was checked: confirmations of it take effect from now on, the one that waited too.
    pub fn set_era_checked(&self, era: StoreEra) {
        let waited = self
            .era_gate
            .as_ref()
            .and_then(|gate| gate.set_checked(era));
        if let Some(moment) = waited {
            self.confirm(era, moment);
        }
    }

    /// Position before which all records are applied here; `None` while nothing is known of the topic.
    pub fn position(&self) -> Option<TopicPosition> {
        *self.position.lock()
    }

    /// Whether more records are applied here than those before `position`; false if that is unknown.
    pub fn is_beyond(&self, position: Option<TopicPosition>) -> bool {
        position.is_some() && self.position() > position
    }

    /// Whether `position` is in a later era than what is applied here; false while nothing is known of the topic.
    pub fn enters_era(&self, position: TopicPosition) -> bool {
        self.position()
            .is_some_and(|known| known.era < position.era)
    }

    /// Records that all records before `position` are applied here; a lower position than the recorded one has no effect.
    pub fn advance(&self, position: TopicPosition) {
        let mut current = self.position.lock();
        *current = (*current).max(Some(position));
    }

    /// Records whether the newest record can be read; while it cannot, nothing is confirmed.
    pub fn set_unreadable(&self, is_unreadable: bool) {
        self.is_unreadable.store(is_unreadable, Ordering::Release);
    }

    /// Whether the newest record cannot be read.
    pub fn is_unreadable(&self) -> bool {
        self.is_unreadable.load(Ordering::Acquire)
    }

    /// Records that the store, in `era`, held no further record at `moment`, a value of [`ConfirmationTime::now`].
    ///
    /// Without effect unless records of that era are applied here: an earlier one tells nothing about the records of this one. Without effect, too,
    /// while the newest record cannot be read, and until the era was checked.
    pub fn confirm(&self, era: StoreEra, moment: Duration) {
        if self.position().is_none_or(|known| known.era != era) || self.is_unreadable() {
            return;
        }
        let gate = self.era_gate.as_ref();
        if gate.is_some_and(|gate| !gate.admits(era, moment)) {
            return;
        }
        self.confirmed.confirm(moment);
        *self.overdue_since.lock() = None;
        self.confirmations.notify_waiters();
    }

    /// Time since the store certainly held no further record; since boot if that was never known.
    pub fn age(&self) -> Duration {
        self.confirmed.age()
    }

    /// Waits a moment for a confirmation if a record of `bound` ago may not be applied here, as after a suspension of the host.
    ///
    /// Returns without one while nobody who can be reached knows more.
    pub async fn settle(&self, bound: Duration) {
        let confirmation = self.confirmations.notified();
        if self.covers(bound) {
            return;
        }
        let since = *self.overdue_since.lock().get_or_insert_with(Instant::now);
        // Ignores the timeout: the caller goes on with what is known.
        let _ = timeout_at(since + SETTLE_TIME, confirmation).await;
    }

    /// Whether a record of `bound` ago is certainly applied here, with a margin for sending a request.
    pub fn covers(&self, bound: Duration) -> bool {
        self.confirmed.covers(bound)
    }
}
