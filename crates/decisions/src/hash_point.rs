//! Conversion of hashes to uniform numbers.

/// Bits of a hash that are used for the fraction: as many as an `f64` represents exactly.
const FRACTION_BITS: u32 = 53;

/// Maps a hash to a number in `0.0..1.0`; uniform hashes give uniform numbers.
pub fn hash_point(hash: u64) -> f64 {
    (hash >> (u64::BITS - FRACTION_BITS)) as f64 / (1_u64 << FRACTION_BITS) as f64
}
