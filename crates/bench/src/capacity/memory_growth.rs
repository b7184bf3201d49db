//! Measures the resident memory of a value.

/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Creates a value and returns the growth of the resident memory, in bytes.
///
/// The value is leaked on purpose: if it were freed, a later measurement could reuse its memory and
/// show no growth.
pub(super) fn resident_growth<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    std::mem::forget(make());
    (resident_bytes() - before).max(0.0)
}

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
