//! Hashes as uniform numbers.

/// Bits of a hash that make a fraction: as many as an `f64` holds exactly.
const FRACTION_BITS: u32 = 53;

/// Uniform number in `0.0..1.0` that is the same for equal hashes.
pub fn hash_point(hash: u64) -> f64 {
    (hash >> (u64::BITS - FRACTION_BITS)) as f64 / (1_u64 << FRACTION_BITS) as f64
}
