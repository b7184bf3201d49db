//! Types for clock values that decisions take as arguments.

use std::time::Duration;

clock_type! {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    UnixMillis(u64);

    /// Time on this process's monotonic clock, in microseconds from an arbitrary origin.
    ///
    /// Signed, so that the age of an event before the origin is correct.
    MonotonicTime(i64);
}

impl UnixMillis {
    /// Milliseconds from `earlier` to `self`; 0 when `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// This time plus `ms` milliseconds.
    pub fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

impl MonotonicTime {
    /// This time minus `age`.
    pub fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(micros(age)))
    }

    /// This time plus `span`.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }

    /// Time from `earlier` to `self`; 0 when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        let span = self.0.saturating_sub(earlier.0).max(0);
        Duration::from_micros(span as u64)
    }
}

/// `seconds` as a span of time: the longest one where it is too large or not a number, none where it is negative.
pub fn nearest_span(seconds: f64) -> Duration {
    match seconds <= 0.0 {
        true => Duration::ZERO,
        false => Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
    }
}

/// Microseconds of `span`, limited to the maximum of an `i64`.
fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}

/// Serde representation of a [`Duration`] as an integer number of microseconds.
pub mod duration_micros {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    /// Serializes a duration, limited to the maximum of a `u64`.
    pub fn serialize<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }

    /// Deserializes a duration.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_micros)
    }
}
