//! How far the operator's records are known here, and since when the rules in force are certainly the newest.

use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::revision::RulesConfirmation;
use ferry_decisions::topic::{StoreEra, TopicPosition};
use parking_lot::Mutex;
use smallvec::SmallVec;
use tokio::sync::Notify;

use super::confirmation_time::ConfirmationTime;
use super::topic_progress::TopicProgress;

/// Progress of the operator's topic, whose confirmations count for the rules in force only.
#[derive(Debug, Default)]
pub struct RulesProgress {
    /// Position, and the confirmations that count.
    topic: TopicProgress,
    /// What holds confirmations back.
    confirmation: Mutex<RulesConfirmation>,
    /// Signal of a confirmation whose era was not checked.
    unchecked: Notify,
    /// Signal that another router has a later revision in force.
    outrun: Notify,
}

impl RulesProgress {
    /// Progress of the topic, for its reader.
    pub fn topic(&self) -> &TopicProgress {
        &self.topic
    }

    /// Position before which all records are applied here; `None` while nothing is known of the topic.
    pub fn position(&self) -> Option<TopicPosition> {
        self.topic.position()
    }

    /// Whether more records are applied here than those before `position`; false if that is unknown.
    pub fn is_beyond(&self, position: Option<TopicPosition>) -> bool {
        self.topic.is_beyond(position)
    }

    /// Records that all records before `position` are applied here; a lower position than the recorded one has no effect.
    pub fn advance(&self, position: TopicPosition) {
        self.topic.advance(position);
    }

    /// Records that the rules of `revision` are in force.
    pub fn apply(&self, revision: u64) {
        let now = ConfirmationTime::now();
        let counted = self.confirmation.lock().apply(revision, now);
        self.count(counted);
    }

    /// Records that `router` stated to have the rules of `revision` in force; absent where it has none, or is of an older build.
    pub fn hear(&self, router: &HostName, revision: Option<u64>) {
        let now = ConfirmationTime::now();
        let is_later = self.confirmation.lock().hear(router, revision, now);
        if is_later {
            self.outrun.notify_one();
        }
    }

    /// Records that the store, in `era`, held no further record at `moment`, a value of `ConfirmationTime::now`.
    ///
    /// Without effect unless records of that era are applied here; held back until the era was checked, and where another router had a later
    /// revision in force by then.
    pub fn confirm(&self, era: StoreEra, moment: Duration) {
        if !self.topic.is_of(era) {
            return;
        }
        let mut confirmation = self.confirmation.lock();
        let counted = confirmation.confirm(era, moment, ConfirmationTime::now());
        if confirmation.unchecked_era().is_some() {
            self.unchecked.notify_one();
        }
        drop(confirmation);
        self.count(counted);
    }

    /// Waits for a confirmation whose era was not checked, and returns the era.
    pub async fn wait_for_unchecked_era(&self) -> StoreEra {
        loop {
            if let Some(era) = self.confirmation.lock().unchecked_era() {
                return era;
            }
            self.unchecked.notified().await;
        }
    }

    /// Records that `era` was checked.
    pub fn set_era_checked(&self, era: StoreEra) {
        let now = ConfirmationTime::now();
        let counted = self.confirmation.lock().set_checked(era, now);
        self.count(counted);
    }

    /// Waits until another router has a later revision in force; at once if that was heard since the last call.
    pub async fn wait_until_outrun(&self) {
        self.outrun.notified().await;
    }

    /// Highest revision that another router has in force and that is later than the one here.
    pub fn missing(&self) -> Option<u64> {
        self.confirmation.lock().missing(ConfirmationTime::now())
    }

    /// Routers that have it, the one that stated it last first.
    pub fn holders(&self) -> SmallVec<[HostName; 4]> {
        self.confirmation.lock().holders(ConfirmationTime::now())
    }

    /// Whether another router has been known for `time` to have a later revision in force.
    pub fn is_outrun_for(&self, time: Duration) -> bool {
        let now = ConfirmationTime::now();
        self.confirmation.lock().is_outrun_for(time, now)
    }

    /// Records whether the newest record can be read; while it cannot, nothing is confirmed.
    pub fn set_unreadable(&self, is_unreadable: bool) {
        self.confirmation.lock().set_unreadable(is_unreadable);
    }

    /// Whether the newest record cannot be read.
    pub fn is_unreadable(&self) -> bool {
        self.confirmation.lock().is_unreadable()
    }

    /// Whether the rules were ever confirmed: until then they may be those of an older copy of the store.
    pub fn was_confirmed(&self) -> bool {
        self.topic.was_confirmed()
    }

    /// Time since the rules were last confirmed; since boot if they never were.
    pub fn age(&self) -> Duration {
        self.topic.age()
    }

    /// The same for routers that sync from this one, and check the era themselves: they need not wait for the check here.
    pub fn age_for_others(&self) -> Duration {
        let now = ConfirmationTime::now();
        let unchecked = self.confirmation.lock().latest_unchecked(now);
        let age = unchecked.map(|moment| now.saturating_sub(moment));
        self.age().min(age.unwrap_or(Duration::MAX))
    }

    /// Whether rules of `bound` ago are certainly in force here, with a margin for sending a request.
    pub fn covers(&self, bound: Duration) -> bool {
        self.topic.covers(bound)
    }

    fn count(&self, confirmed: Option<Duration>) {
        if let Some(moment) = confirmed {
            self.topic.count(moment);
        }
    }
}
