//! The operator's newest records, and the differences between them that are sent to other routers.

use std::borrow::Cow;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::io;

use bytes::Bytes;
use ferry_decisions::topic::StoreEra;
use ferry_platform::store::KeyedRecord;
use smallvec::SmallVec;

use super::record_patch::{RecordPatch, compress, decompress};

/// Number of records of a key that are kept as bases; a router whose record is older gets the newest one whole.
const BASE_LIMIT: usize = 4;

/// Offsets of the newest records by key.
pub type KnownOffsets = BTreeMap<String, u64>;

/// Which of the operator's records a router has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRecords {
    /// Era of the offsets; absent from routers of an older build, which do not tell eras apart.
    pub era: Option<StoreEra>,
    /// Offsets of its newest records.
    pub offsets: KnownOffsets,
}

/// Records of the operator by key, all of one era.
#[derive(Debug, Default)]
pub struct OperatorRecords {
    /// Era of all offsets.
    era: StoreEra,
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
    /// Stores the newest records of their keys, as the store gave them out in `era`; returns whether one of them was not known.
    ///
    /// The first ones of a later era replace all former ones, and those of an earlier era have no effect.
    pub fn put_all(&mut self, era: StoreEra, records: &[KeyedRecord]) -> bool {
        if era < self.era {
            return false;
        }
        if era > self.era {
            self.by_key.clear();
            self.era = era;
        }
        let news = records.iter().filter(|record| self.put(record));
        news.count() > 0
    }

    /// Stores the newest record of its key; returns whether it was not known.
    fn put(&mut self, record: &KeyedRecord) -> bool {
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

    /// Era of the records.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Which records are known here.
    pub fn known(&self) -> KnownRecords {
        let newest = self.by_key.values().filter_map(KeyHistory::newest);
        KnownRecords {
            era: Some(self.era),
            offsets: newest
                .map(|record| (record.key.clone(), record.offset))
                .collect(),
        }
    }

    /// Whether a router that knows `known` lacks a record.
    pub fn has_news(&self, known: &KnownRecords) -> bool {
        let Some(offsets) = self.comparable(known) else {
            return false;
        };
        let mut newest = self.by_key.values().filter_map(KeyHistory::newest);
        newest.any(|record| is_news(record, &offsets))
    }

    /// All records that a router that knows `known` lacks, as differences to those that it has.
    ///
    /// # Errors
    ///
    /// Fails when one of them cannot be compressed.
    pub fn patches(&mut self, known: &KnownRecords) -> io::Result<Vec<RecordPatch>> {
        let Some(offsets) = self.comparable(known) else {
            return Ok(Vec::new());
        };
        let histories = self.by_key.iter_mut();
        histories
            .filter_map(|(key, history)| history.patch(offsets.get(key).copied()).transpose())
            .collect()
    }

    /// The offsets of `known` that have the same meaning here: none if they are of an earlier era. `None` if they are of a later one,
    /// to which nothing here is news.
    fn comparable<'a>(&self, known: &'a KnownRecords) -> Option<Cow<'a, KnownOffsets>> {
        match known.era.unwrap_or(self.era).cmp(&self.era) {
            Ordering::Less => Some(Cow::Owned(KnownOffsets::new())),
            Ordering::Equal => Some(Cow::Borrowed(&known.offsets)),
            Ordering::Greater => None,
        }
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
    fn patch(&mut self, known: Option<u64>) -> io::Result<Option<RecordPatch>> {
        let newest = self.newest().filter(|newest| known < Some(newest.offset));
        let Some(newest) = newest else {
            return Ok(None);
        };
        let (key, offset) = (newest.key.clone(), newest.offset);
        let value = newest.value.clone();
        let base = known.filter(|known| self.value_at(*known).is_some());
        let content = match value {
            Some(value) => Some(self.content(base, &value)?),
            None => None,
        };
        Ok(Some(RecordPatch {
            key,
            offset,
            base,
            content,
        }))
    }

    /// The newest `value` as a difference to the record at `base`, compressed once for all routers that have that one.
    fn content(&mut self, base: Option<u64>, value: &[u8]) -> io::Result<Bytes> {
        if let Some((_, content)) = self.patches.iter().find(|(offset, _)| *offset == base) {
            return Ok(content.clone());
        }
        let base_value = base.and_then(|offset| self.value_at(offset));
        let content = compress(&base_value.unwrap_or_default(), value)?;
        self.patches.push((base, content.clone()));
        Ok(content)
    }
}

fn is_news(record: &KeyedRecord, known: &KnownOffsets) -> bool {
    known.get(&record.key) < Some(&record.offset)
}
