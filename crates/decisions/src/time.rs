//! Clock values that decisions take as arguments.

use std::time::Duration;

clock_type! {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    UnixMillis(u64);

    /// Time on this process's monotonic clock, in microseconds from an arbitrary origin.
    ///
    /// Signed, so that an event before the origin keeps its true age.
    MonotonicTime(i64);
}

impl UnixMillis {
    /// Milliseconds from `earlier` to `self`, zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// This time moved forward by `ms` milliseconds.
    pub fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }
}

impl MonotonicTime {
    /// This time moved back by `age`.
    pub fn before(self, age: Duration) -> Self {
        Self(self.0.saturating_sub(micros(age)))
    }

    /// This time moved forward by `span`.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }

    /// Time from `earlier` to `self`, zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        let span = self.0.saturating_sub(earlier.0).max(0);
        Duration::from_micros(span as u64)
    }
}

/// Microseconds of `span`, at most what an `i64` holds.
fn micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}

/// Serde form of a [`Duration`] as whole microseconds.
pub mod duration_micros {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes the duration.
    pub fn serialize<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }

    /// Reads a duration.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_micros)
    }
}
