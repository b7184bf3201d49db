//! The lease of this router, shared by all requests.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Why no work may be admitted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LeaseProblem {
    /// No configuration was read since the start.
    #[error("this router has read no configuration yet; send the request to another one")]
    NeverRead,
    /// The configuration was last known to be fresh too long ago.
    #[error(
        "this router has not seen the newest configuration for {age:?}; send the request to another one"
    )]
    Stale {
        /// Time since the configuration was last known to be fresh.
        age: Duration,
    },
}

/// Time of the last proof that the configuration is fresh.
#[derive(Debug)]
pub struct LeaseCell {
    freshness: Duration,
    proven: Mutex<Option<Instant>>,
}

impl LeaseCell {
    /// A lease that is not held.
    pub fn new(freshness: Duration) -> Self {
        Self {
            freshness,
            proven: Mutex::new(None),
        }
    }

    /// Notes that a read of the log that began at `asked` found nothing newer.
    pub fn log_read(&self, asked: Instant) {
        let mut proven = self.proven.lock();
        *proven = Some(proven.map_or(asked, |known| known.max(asked)));
    }

    /// Whether work may be admitted now.
    ///
    /// # Errors
    ///
    /// Names the reason for which it may not.
    pub fn check(&self) -> Result<(), LeaseProblem> {
        let proven = (*self.proven.lock()).ok_or(LeaseProblem::NeverRead)?;
        let age = proven.elapsed();
        if age <= self.freshness {
            return Ok(());
        }
        Err(LeaseProblem::Stale { age })
    }
}
