//! Reads a keyed topic: first the newest record of each key, then the records appended since.

use std::time::Duration;

use ferry_platform::store::{
    KeyedRecord, RESPONSE_BYTES, ReadBatch, ReadQuery, StoreClient, StoreError, TopicPartition,
    decode_keyed,
};

/// Result of one call of [`TopicReader::next`].
#[derive(Debug)]
pub struct TopicChanges {
    /// Whether `records` holds all keys of the topic, so that any other key was removed.
    pub whole: bool,
    /// Changed records, in the order of the topic.
    pub records: Vec<KeyedRecord>,
    /// Whether they are all records that the topic had at the time of the response. Others follow at once if not, and nothing is
    /// known of what they change.
    pub reaches_end: bool,
}

/// Reader of one topic, with its position.
#[derive(Debug)]
pub struct TopicReader {
    store: StoreClient,
    topic: &'static str,
    /// Offset of the next record to read; absent until all keys were listed.
    position: Option<u64>,
}

impl TopicReader {
    /// Creates a reader that begins with a list of all keys of `topic`.
    pub fn new(store: StoreClient, topic: &'static str) -> Self {
        Self {
            store,
            topic,
            position: None,
        }
    }

    /// Offset of the next record; `None` until all keys were listed.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// Lets the next call list all keys again.
    pub fn restart(&mut self) {
        self.position = None;
    }

    /// Returns all keys on the first call and after a gap in the records, and otherwise the records
    /// appended since the last call, for which it waits up to `wait`.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer; the next call continues at the same position.
    pub async fn next(&mut self, wait: Duration) -> Result<TopicChanges, StoreError> {
        let Some(from) = self.position else {
            return self.list().await;
        };
        let query = ReadQuery {
            from,
            wait,
            most_bytes: RESPONSE_BYTES,
        };
        match self.store.read(self.partition(), query).await {
            Ok(batch) => {
                let position = from + batch.records.len() as u64;
                if position < batch.end {
                    self.log_short_read(from, &batch);
                }
                self.position = Some(position);
                let records = batch.records.iter();
                Ok(TopicChanges {
                    whole: false,
                    records: records.filter_map(decode_keyed).collect(),
                    reaches_end: position >= batch.end,
                })
            }
            Err(StoreError::Trimmed { first }) => {
                spdlog::warn!("the store dropped records before they were read; all keys are listed again", kv: {
                    topic = self.topic,
                    position = from,
                    first_kept = first,
                });
                self.list().await
            }
            Err(error) => Err(error),
        }
    }

    /// Lists all keys; the next read begins with the records appended while the list was read.
    async fn list(&mut self) -> Result<TopicChanges, StoreError> {
        let (entries, end) = self.store.newest_all(self.partition()).await?;
        self.position = Some(end);
        let records = entries.into_iter().map(|entry| KeyedRecord {
            key: entry.key,
            value: Some(entry.value),
            offset: entry.offset,
        });
        Ok(TopicChanges {
            whole: true,
            records: records.collect(),
            reaches_end: true,
        })
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
