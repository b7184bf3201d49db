//! Log lines about records of a topic that cannot be read.

use ferry_decisions::topic::{LoggedRecords, TopicPosition};

/// Most records that are logged one by one after a read.
const LOGGED_RECORDS: usize = 10;

/// A record that cannot be read.
#[derive(Debug)]
pub struct UnreadableRecord {
    /// Key of the record.
    pub key: String,
    /// Why it cannot be read.
    pub reason: String,
}

/// Logs records of one topic that cannot be read, each once, however often the topic is listed.
#[derive(Debug)]
pub struct UnreadableLog {
    /// Message, followed by the reason.
    message: &'static str,
    logged: LoggedRecords,
}

impl UnreadableLog {
    /// Creates the log of a topic of which no record was read.
    pub fn new(message: &'static str) -> Self {
        Self {
            message,
            logged: LoggedRecords::default(),
        }
    }

    /// Logs those of `records` that were not logged yet.
    pub fn report(&mut self, records: Vec<(TopicPosition, UnreadableRecord)>) {
        let new = self.logged.take_new(records);
        for (position, record) in new.iter().take(LOGGED_RECORDS) {
            spdlog::warn!("{}: {}", self.message, record.reason, kv: {
                key = record.key.as_str(),
                offset = position.offset,
            });
        }
        let others = new.len().saturating_sub(LOGGED_RECORDS);
        if others > 0 {
            spdlog::warn!("{}: others too", self.message, kv: { records = others });
        }
    }
}
