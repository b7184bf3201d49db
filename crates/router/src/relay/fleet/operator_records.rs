//! The operator's newest records, and the differences between them that are sent to other routers.

use std::collections::{BTreeMap, VecDeque};
use std::io;

use bytes::Bytes;
use ferry_platform::store::KeyedRecord;
use smallvec::SmallVec;

use super::record_patch::{RecordPatch, compress, decompress};

/// Number of records of a key that are kept as bases; a router whose record is older gets the newest one whole.
const BASE_LIMIT: usize = 4;

/// Offsets of the newest records by key.
pub type KnownOffsets = BTreeMap<String, u64>;

/// Records of the operator by key.
#[derive(Debug, Default)]
pub struct OperatorRecords {
    by_key: BTreeMap<String, KeyHistory>,
}

/// Recent records of one key.
#[derive(Debug, Default)]
struct KeyHistory {
    /// Oldest first; never empty once a record was stored.
    recent: VecDeque<KeyedRecord>,
    /// The newest value as a difference to the record at each of these offsets, or for itself.
    patches: SmallVec<[(Option<u64>, Bytes); 4]>,
}

impl OperatorRecords {
    /// Stores the newest record of its key; returns whether it was not known.
    pub fn put(&mut self, record: &KeyedRecord) -> bool {
        let history = self.by_key.entry(record.key.clone()).or_default();
        if history.recent.back() == Some(record) {
            return false;
        }
        if history.recent.len() == BASE_LIMIT {
            history.recent.pop_front();
        }
        history.recent.push_back(record.clone());
        history.patches.clear();
        true
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Offset of the newest record of each key.
    pub fn known(&self) -> KnownOffsets {
        let newest = self.by_key.values().filter_map(KeyHistory::newest);
        newest
            .map(|record| (record.key.clone(), record.offset))
            .collect()
    }

    /// Whether a router that knows `known` lacks a record.
    pub fn has_news(&self, known: &KnownOffsets) -> bool {
        let mut newest = self.by_key.values().filter_map(KeyHistory::newest);
        newest.any(|record| is_news(record, known))
    }

    /// The records that a router that knows `known` lacks, as differences to those that it has.
    pub fn patches(&mut self, known: &KnownOffsets) -> Vec<RecordPatch> {
        let histories = self.by_key.iter_mut();
        histories
            .filter_map(|(key, history)| history.patch(known.get(key).copied()))
            .collect()
    }

    /// Restores the record that another router sent.
    ///
    /// # Errors
    ///
    /// Fails when its base is not kept here or its content is malformed.
    pub fn restore(&self, patch: &RecordPatch) -> io::Result<KeyedRecord> {
        let base = match patch.base {
            Some(offset) => self.value_at(&patch.key, offset)?,
            None => Bytes::new(),
        };
        let value = match &patch.content {
            Some(content) => Some(decompress(&base, content)?),
            None => None,
        };
        Ok(KeyedRecord {
            key: patch.key.clone(),
            value,
            offset: patch.offset,
        })
    }

    fn value_at(&self, key: &str, offset: u64) -> io::Result<Bytes> {
        let history = self.by_key.get(key);
        let value = history.and_then(|history| history.value_at(offset));
        value
            .ok_or_else(|| io::Error::other(format!("the record of {key} at {offset} is not kept")))
    }
}

impl KeyHistory {
    fn newest(&self) -> Option<&KeyedRecord> {
        self.recent.back()
    }

    fn value_at(&self, offset: u64) -> Option<Bytes> {
        let record = self.recent.iter().find(|record| record.offset == offset)?;
        record.value.clone()
    }

    /// The newest record for a router that has the one at `known`; `None` if that is the newest or a later one.
    fn patch(&mut self, known: Option<u64>) -> Option<RecordPatch> {
        let newest = self.newest()?;
        if known >= Some(newest.offset) {
            return None;
        }
        let (key, offset) = (newest.key.clone(), newest.offset);
        let value = newest.value.clone();
        let base = known.filter(|known| self.value_at(*known).is_some());
        let content = match value {
            Some(value) => Some(self.content(base, &value)?),
            None => None,
        };
        Some(RecordPatch {
            key,
            offset,
            base,
            content,
        })
    }

    /// The newest `value` as a difference to the record at `base`, compressed once for all routers that have that one.
    fn content(&mut self, base: Option<u64>, value: &[u8]) -> Option<Bytes> {
        if let Some((_, content)) = self.patches.iter().find(|(offset, _)| *offset == base) {
            return Some(content.clone());
        }
        let base_value = base.and_then(|offset| self.value_at(offset));
        let content = compress(&base_value.unwrap_or_default(), value)
            .inspect_err(|error| spdlog::error!("a record cannot be compressed: {}", error))
            .ok()?;
        self.patches.push((base, content.clone()));
        Some(content)
    }
}

fn is_news(record: &KeyedRecord, known: &KnownOffsets) -> bool {
    known.get(&record.key) < Some(&record.offset)
}
