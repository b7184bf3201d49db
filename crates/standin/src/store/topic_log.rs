//! Log of one partition of a topic.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use ferry_platform::store::{
    AppendCondition, Appended, KeyedEntry, KeyedPage, ReadBatch, StoreError, StoreRecord,
    decode_keyed,
};

/// Maximum number of entries in one page.
const PAGE_ENTRIES: usize = 500;

/// Log of one partition, with the newest record of each key.
#[derive(Debug, Default)]
pub(super) struct TopicLog {
    /// Offset of the oldest retained record.
    first: u64,
    records: VecDeque<Bytes>,
    /// Newest record of each key; empty for topics without keys.
    newest: BTreeMap<String, KeyedEntry>,
    /// Epoch and next sequence number of each producer.
    producers: HashMap<String, (u64, u64)>,
}

impl TopicLog {
    /// Offset of the next record.
    pub(super) fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Appends records if `condition` holds.
    pub(super) fn append(
        &mut self,
        contents: Vec<Bytes>,
        condition: AppendCondition<'_>,
        is_keyed: bool,
    ) -> Result<Appended, StoreError> {
        self.check(condition)?;
        let offset = self.end();
        for content in contents {
            self.push(content, is_keyed);
        }
        Ok(Appended {
            offset,
            end: self.end(),
        })
    }

    /// Reads all records, starting at offset `from`.
    pub(super) fn read(&self, from: u64) -> Result<ReadBatch, StoreError> {
        if from < self.first {
            return Err(StoreError::Trimmed { first: self.first });
        }
        let skipped = (from - self.first) as usize;
        let contents = self.records.iter().skip(skipped).cloned();
        let records = contents
            .zip(from..)
            .map(|(content, offset)| StoreRecord { offset, content });
        Ok(ReadBatch {
            end: self.end(),
            first: self.first,
            records: records.collect(),
        })
    }

    /// Page of the newest records of the keys that follow `after` in key order.
    pub(super) fn page(&self, after: Option<&str>) -> KeyedPage {
        let start = after.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let mut rest = self
            .newest
            .range::<str, _>((start, std::ops::Bound::Unbounded))
            .map(|(_, entry)| entry.clone());
        let entries: Vec<KeyedEntry> = rest.by_ref().take(PAGE_ENTRIES).collect();
        KeyedPage {
            entries,
            has_more: rest.next().is_some(),
            end: self.end(),
        }
    }

    /// Newest record of `key`.
    pub(super) fn newest(&self, key: &str) -> Option<&KeyedEntry> {
        self.newest.get(key)
    }

    /// Removes all records from the log; the newest record of each key stays available.
    pub(super) fn compact(&mut self) {
        self.first = self.end();
        self.records.clear();
    }

    fn check(&mut self, condition: AppendCondition<'_>) -> Result<(), StoreError> {
        match condition {
            AppendCondition::None => Ok(()),
            AppendCondition::EndsAt(end) if end == self.end() => Ok(()),
            AppendCondition::EndsAt(_) => Err(StoreError::EndMismatch { end: self.end() }),
            AppendCondition::Producer {
                name,
                epoch,
                sequence,
            } => self.check_producer(name, epoch, sequence),
        }
    }

    fn check_producer(&mut self, name: &str, epoch: u64, sequence: u64) -> Result<(), StoreError> {
        let known = self.producers.get(name).copied();
        let (known_epoch, expected) = known.unwrap_or((epoch, sequence));
        if epoch < known_epoch {
            return Err(StoreError::Fenced);
        }
        if epoch == known_epoch && sequence != expected {
            return Err(StoreError::OutOfSequence { expected });
        }
        self.producers
            .insert(name.to_owned(), (epoch, sequence + 1));
        Ok(())
    }

    fn push(&mut self, content: Bytes, is_keyed: bool) {
        let record = StoreRecord {
            offset: self.end(),
            content,
        };
        if let Some(decoded) = decode_keyed(&record).filter(|_| is_keyed) {
            match decoded.value {
                Some(value) => {
                    let entry = KeyedEntry {
                        key: decoded.key.clone(),
                        value,
                        offset: record.offset,
                    };
                    self.newest.insert(decoded.key, entry);
                }
                None => {
                    self.newest.remove(&decoded.key);
                }
            }
        }
        self.records.push_back(record.content);
    }
}
