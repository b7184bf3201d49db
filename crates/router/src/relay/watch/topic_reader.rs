//! Reads a keyed topic: the newest record of each key first, then what is appended.

use std::time::Duration;

use ferry_platform::store::{
    KeyedRecord, ReadQuery, StoreClient, StoreError, TopicPart, decode_keyed,
};

/// What one call brought.
#[derive(Debug)]
pub struct TopicChanges {
    /// Whether `records` are all keys of the topic, so that other keys are gone.
    pub whole: bool,
    /// Changed records in order.
    pub records: Vec<KeyedRecord>,
}

/// Position of one reader.
#[derive(Debug)]
pub struct TopicReader {
    store: StoreClient,
    topic: &'static str,
    /// Offset to read from; absent until all keys were listed.
    position: Option<u64>,
}

impl TopicReader {
    /// A reader that begins with all keys of `topic`.
    pub fn new(store: StoreClient, topic: &'static str) -> Self {
        Self {
            store,
            topic,
            position: None,
        }
    }

    /// Offset of the next record, once all keys were listed.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// All keys at first and after a gap, later what was appended; waits up to `wait` for that.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer; the next call goes on from the same position.
    pub async fn next(&mut self, wait: Duration) -> Result<TopicChanges, StoreError> {
        let Some(from) = self.position else {
            return self.list().await;
        };
        match self
            .store
            .read(self.place(), ReadQuery { from, wait })
            .await
        {
            Ok(batch) => {
                self.position = Some(from + batch.records.len() as u64);
                let records = batch.records.iter();
                Ok(TopicChanges {
                    whole: false,
                    records: records.filter_map(decode_keyed).collect(),
                })
            }
            Err(StoreError::Trimmed { first }) => {
                spdlog::warn!("records were dropped before they were read", kv: {
                    topic = self.topic,
                    position = from,
                    first_kept = first,
                });
                self.list().await
            }
            Err(error) => Err(error),
        }
    }

    /// Lists all keys; reading goes on from what changed meanwhile.
    async fn list(&mut self) -> Result<TopicChanges, StoreError> {
        let (entries, end) = self.store.newest_all(self.place()).await?;
        self.position = Some(end);
        let records = entries.into_iter().map(|entry| KeyedRecord {
            key: entry.key,
            value: Some(entry.value),
            offset: entry.offset,
        });
        Ok(TopicChanges {
            whole: true,
            records: records.collect(),
        })
    }

    fn place(&self) -> TopicPart<'static> {
        TopicPart::only(self.topic)
    }
}
