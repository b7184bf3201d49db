//! Log of one partition of a topic.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;

use bytes::Bytes;
use ferry_platform::store::{
    AppendCondition, Appended, KeyedEntry, KeyedPage, LENGTH_BYTES, RESPONSE_BYTES, ReadBatch,
    ReadQuery, StoreError, StoreRecord, split_keyed,
};

/// Maximum number of entries in one page.
const PAGE_ENTRIES: usize = 500;

/// Log of one partition, with the newest record of each key.
#[derive(Debug, Default, Clone)]
pub(super) struct TopicLog {
    /// Offset of the oldest retained record.
    first: u64,
    records: VecDeque<Bytes>,
    /// Newest record of each key, in the order of the keys' bytes; empty for topics without keys.
    newest: BTreeMap<Bytes, KeyedEntry>,
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
        let after = after.map(str::as_bytes);
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self
            .newest
            .range::<[u8], _>((start, Bound::Unbounded))
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
            left_out: 0,
        }
    }

    /// Newest record of each key, with the key's bytes.
    pub(super) fn entries(&self) -> impl Iterator<Item = (&Bytes, &KeyedEntry)> {
        self.newest.iter()
    }

    /// Newest record of `key`.
    pub(super) fn newest(&self, key: impl AsRef<[u8]>) -> Option<&KeyedEntry> {
        self.newest.get(key.as_ref())
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
        let offset = self.end();
        if let Some((key, value)) = split_keyed(&content).filter(|_| is_keyed) {
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                let entry = KeyedEntry {
                    key: String::from_utf8_lossy(&key).into_owned(),
                    value,
                    offset,
                };
                self.newest.insert(key, entry);
            }
        }
        self.records.push_back(content);
    }
}
