//! Log of one partition of a topic.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use ferry_platform::store::{
    AppendCondition, Appended, KeyedEntry, KeyedPage, LENGTH_BYTES, RESPONSE_BYTES, ReadBatch,
    ReadQuery, StoreError, StoreRecord, decode_keyed,
};

/// Maximum number of entries in one page.
const PAGE_ENTRIES: usize = 500;

/// Log of one partition, with the newest record of each key.
#[derive(Debug, Default, Clone)]
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

    /// Reads records from an offset on: as many as a response may hold, but at least one.
    pub(super) fn read(&self, query: ReadQuery) -> Result<ReadBatch, StoreError> {
        let from = query.from;
        if from < self.first || from > self.end() {
            return Err(StoreError::Trimmed { first: self.first });
        }
        let skipped = (from - self.first) as usize;
        let limit = query.most_bytes.min(RESPONSE_BYTES);
        let mut bytes = 0;
        let contents = self.records.iter().skip(skipped).enumerate();
        let contents = contents.take_while(|(number, content)| {
            bytes += content.len() + LENGTH_BYTES;
            *number == 0 || bytes <= limit
        });
        let contents = contents.map(|(_, content)| content.clone());
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
        let mut bytes = 0;
        let mut entries: Vec<KeyedEntry> = Vec::new();
        let mut has_more = false;
        for entry in rest.by_ref() {
            bytes += entry.key.len() + entry.value.len();
            if entries.len() == PAGE_ENTRIES || (bytes > RESPONSE_BYTES && !entries.is_empty()) {
                has_more = true;
                break;
            }
            entries.push(entry);
        }
        KeyedPage {
            entries,
            has_more,
            end: self.end(),
        }
    }

    /// Newest record of each key.
    pub(super) fn entries(&self) -> impl Iterator<Item = &KeyedEntry> {
        self.newest.values()
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
