//! Which records of a topic were logged, so that each is logged once however often the topic is listed.

use super::TopicPosition;

/// Records of one topic that were logged.
#[derive(Debug, Default)]
pub struct LoggedRecords {
    /// Position of the newest one. Those before it were logged, or were replaced before they were read.
    newest: Option<TopicPosition>,
}

impl LoggedRecords {
    /// Those of `records`, in any order, that were not logged yet; they count as logged from now on.
    pub fn take_new<T>(
        &mut self,
        records: impl IntoIterator<Item = (TopicPosition, T)>,
    ) -> Vec<(TopicPosition, T)> {
        let records = records.into_iter();
        let new: Vec<(TopicPosition, T)> = records
            .filter(|(position, _)| Some(*position) > self.newest)
            .collect();
        let newest = new.iter().map(|(position, _)| *position).max();
        self.newest = self.newest.max(newest);
        new
    }
}
