//! How far a topic of the store is known here, and since when.

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
    /// All records before this position are applied here; absent while nothing is known of the topic.
    position: Mutex<Option<TopicPosition>>,
    /// When the store certainly held no record beyond those that are applied here.
    confirmed: ConfirmationTime,
    /// When the first request began to wait for the next confirmation.
    overdue_since: Mutex<Option<Instant>>,
    /// Signal of a confirmation.
    confirmations: Notify,
}

impl TopicProgress {
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

    /// Records that the store, in `era`, held no further record at `moment`, a value of [`ConfirmationTime::now`].
    ///
    /// Without effect unless records of that era are applied here: an earlier one tells nothing about the records of this one.
    pub fn confirm(&self, era: StoreEra, moment: Duration) {
        if self.is_of(era) {
            self.count(moment);
        }
    }

    /// Whether records of `era` are applied here.
    pub fn is_of(&self, era: StoreEra) -> bool {
        self.position().is_some_and(|known| known.era == era)
    }

    /// Counts a confirmation of `moment`.
    pub fn count(&self, moment: Duration) {
        self.confirmed.confirm(moment);
        *self.overdue_since.lock() = None;
        self.confirmations.notify_waiters();
    }

    /// Whether it was ever confirmed that the store held no further record.
    pub fn was_confirmed(&self) -> bool {
        self.confirmed.was_confirmed()
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
        let until = self.overdue_since() + SETTLE_TIME;
        // Ignores the timeout: the caller goes on with what is known.
        let _ = timeout_at(until, confirmation).await;
    }

    /// When the first of those that wait for the next confirmation began to.
    fn overdue_since(&self) -> Instant {
        *self.overdue_since.lock().get_or_insert_with(Instant::now)
    }

    /// Waits up to `limit` for a confirmation of `moment`, a value of [`ConfirmationTime::now`], or a later one.
    ///
    /// All that wait at the same time share the limit, so that a long outage delays none.
    pub async fn settle_since(&self, moment: Duration, limit: Duration) {
        let mut until = None;
        loop {
            let confirmation = self.confirmations.notified();
            if self.confirmed.is_since(moment) {
                return;
            }
            let until = *until.get_or_insert_with(|| self.overdue_since() + limit);
            if timeout_at(until, confirmation).await.is_err() {
                return;
            }
        }
    }

    /// Whether a record of `bound` ago is certainly applied here, with a margin for sending a request.
    pub fn covers(&self, bound: Duration) -> bool {
        self.confirmed.covers(bound)
    }
}
