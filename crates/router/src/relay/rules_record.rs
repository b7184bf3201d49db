//! The operator's record from which the rules in force are, for other routers.

use bytes::Bytes;

use super::fleet::compress;

/// Value of the record, compressed when another router first asks for it.
#[derive(Debug, Default)]
pub struct RulesRecord {
    value: Bytes,
    compressed: Option<Bytes>,
}

impl RulesRecord {
    /// The record with `value`.
    pub fn new(value: Bytes) -> Self {
        Self {
            value,
            compressed: None,
        }
    }

    /// Value as the operator wrote it.
    pub fn value(&self) -> Bytes {
        self.value.clone()
    }

    /// The same, compressed; `None` if the compressor fails.
    pub fn compressed(&mut self) -> Option<Bytes> {
        if self.compressed.is_none() {
            self.compressed = compress(&[], &self.value)
                .inspect_err(|error| spdlog::error!("the rules cannot be compressed: {}", error))
                .ok();
        }
        self.compressed.clone()
    }
}
