//! Records of the operator as differences to a record that the receiving router has.

use std::io;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use zstd::bulk::{Compressor, Decompressor};

/// Compression level: low, since the source's processor is small.
const LEVEL: i32 = 1;
/// Distance over which equal parts are found, as a power of two: longer than any record and its base together.
const WINDOW_LOG: u32 = 24;
/// Maximum size of a record after decompression, in bytes.
const RECORD_LIMIT: usize = 16 * 1024 * 1024;

/// A record of the operator, as it is sent to another router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPatch {
    /// Key of the record.
    pub key: String,
    /// Offset of the record.
    pub offset: u64,
    /// Offset of the record of the same key to which `content` is the difference; absent if it stands for itself.
    pub base: Option<u64>,
    /// Compressed value; absent when the key was removed.
    pub content: Option<Bytes>,
}

/// Compresses `value` as a difference to `base`, or for itself with an empty `base`.
///
/// # Errors
///
/// Fails when the compressor runs out of memory.
pub fn compress(base: &[u8], value: &[u8]) -> io::Result<Bytes> {
    let mut compressor = Compressor::with_dictionary(LEVEL, base)?;
    compressor.window_log(WINDOW_LOG)?;
    compressor.include_checksum(true)?;
    compressor.compress(value).map(Bytes::from)
}

/// Restores a value that [`compress`] has compressed with the same `base`.
///
/// # Errors
///
/// Fails when `content` is malformed, longer than allowed, or belongs to another base.
pub fn decompress(base: &[u8], content: &[u8]) -> io::Result<Bytes> {
    let mut decompressor = Decompressor::with_dictionary(base)?;
    decompressor.window_log_max(WINDOW_LOG)?;
    decompressor
        .decompress(content, RECORD_LIMIT)
        .map(Bytes::from)
}
