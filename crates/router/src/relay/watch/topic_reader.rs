//! Reads a keyed topic: the newest record of each key, or the records appended since.

use std::time::Duration;

use ferry_decisions::topic::{ReadStep, TopicPosition};
use ferry_platform::store::{
    KeyedRecord, ReadBatch, ReadQuery, StoreClient, StoreError, TopicPartition, decode_keyed,
};

use crate::relay::topic_progress::TopicProgress;

/// Maximum size of the records that one read returns, in bytes: more than the largest record has, and a third of a second on the link of a
/// small host.
const READ_BYTES: usize = 384 * 1024;

/// Result of one call of [`TopicReader::next`].
#[derive(Debug)]
pub struct TopicChanges {
    /// Whether `records` holds all keys of the topic, so that any other key was removed.
    pub whole: bool,
    /// Changed records, in the order of the topic.
    pub records: Vec<KeyedRecord>,
    /// Position before which all records are known once these are applied.
    pub position: TopicPosition,
    /// Whether they are all records that the topic had at the time of the response. Others follow at once if not, and nothing is
    /// known of what they change.
    pub reaches_end: bool,
}

/// Reader of one topic. What it has read is known from the topic's progress, so that it goes on where this router stands, whoever
/// read the records before.
#[derive(Debug)]
pub struct TopicReader {
    store: StoreClient,
    topic: &'static str,
}

impl TopicReader {
    /// Creates a reader of `topic`.
    pub fn new(store: StoreClient, topic: &'static str) -> Self {
        Self { store, topic }
    }

    /// Returns the records after those of `progress`, for which it waits up to `wait`; all keys if nothing is known of the topic, records
    /// were dropped before they were read, or the store came back from an older copy.
    ///
    /// A router that is far behind lists all keys too: it has about `known_keys` of them, and does not read a longer history.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer, or the topic ends before what is known of it.
    pub async fn next(
        &self,
        progress: &TopicProgress,
        known_keys: usize,
        wait: Duration,
    ) -> Result<TopicChanges, StoreError> {
        let Some(known) = progress.position() else {
            return self.list(None).await;
        };
        if self.store.eras().newest() > known.era {
            return self.list(Some(known)).await;
        }
        let from = known.offset;
        let query = ReadQuery {
            from,
            wait,
            most_bytes: READ_BYTES,
        };
        let (era, batch) = match self.store.read(self.partition(), query).await {
            Ok(answer) => answer,
            Err(StoreError::Trimmed { first }) => {
                spdlog::warn!("the store dropped records before they were read; all keys are listed again", kv: {
                    topic = self.topic,
                    position = from,
                    first_kept = first,
                });
                return self.list(Some(known)).await;
            }
            Err(error) => return Err(error),
        };
        match known.step_to(TopicPosition::new(era, batch.end)) {
            ReadStep::Apply => {}
            ReadStep::ListAgain => return self.list(Some(known)).await,
            ReadStep::Refuse => return Err(self.lost_records(known, batch.end)),
        }
        let position = from + batch.records.len() as u64;
        let left = batch.end.saturating_sub(position);
        if left > 0 {
            self.log_short_read(from, &batch);
        }
        if left > known_keys as u64 {
            return self.list(Some(known)).await;
        }
        Ok(TopicChanges {
            whole: false,
            records: batch.records.iter().filter_map(decode_keyed).collect(),
            position: TopicPosition::new(era, position),
            reaches_end: left == 0,
        })
    }

    /// Lists all keys; the next read begins with the records appended while the list was read. All records before `known` were read
    /// before.
    async fn list(&self, known: Option<TopicPosition>) -> Result<TopicChanges, StoreError> {
        let listing = self.store.newest_all(self.partition()).await?;
        let step = known.map(|known| (known, known.step_to(listing.end)));
        if let Some((known, ReadStep::Refuse)) = step {
            return Err(self.lost_records(known, listing.end.offset));
        }
        let records = listing.entries.into_iter().map(|entry| KeyedRecord {
            key: entry.key,
            value: Some(entry.value),
            offset: entry.offset,
        });
        Ok(TopicChanges {
            whole: true,
            records: records.collect(),
            position: listing.end,
            reaches_end: true,
        })
    }

    fn lost_records(&self, known: TopicPosition, end: u64) -> StoreError {
        StoreError::LostRecords {
            topic: self.topic,
            end,
            known: known.offset,
        }
    }

    /// Logs a read that ended before the end of the topic.
    fn log_short_read(&self, from: u64, batch: &ReadBatch) {
        let contents = batch.records.iter().map(|record| record.content.len());
        spdlog::info!("read ended before the end of the topic", kv: {
            topic = self.topic,
            from = from,
            records = batch.records.len(),
            bytes = contents.sum::<usize>(),
            end = batch.end,
        });
    }

    fn partition(&self) -> TopicPartition<'static> {
        TopicPartition::only(self.topic)
    }
}
