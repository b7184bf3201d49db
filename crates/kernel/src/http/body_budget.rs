//! Limit on the memory of all bodies that are being read at the same time.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;

use super::body::collect_checked;
use super::{BodyError, BoxError, JoinedBody};

/// Memory that bodies may take while they are read, in one process.
#[derive(Debug)]
pub struct BodyBudget {
    /// Maximum size of one body, in bytes.
    body_limit: usize,
    /// Maximum memory of all bodies, in bytes.
    total_limit: usize,
    used: AtomicUsize,
}

/// Memory that one body has taken of the budget, in bytes; given back when dropped.
struct TakenBytes<'a> {
    budget: &'a BodyBudget,
    count: usize,
}

impl BodyBudget {
    /// A budget of `total_limit` bytes, of which one body takes at most `body_limit`.
    pub fn new(body_limit: usize, total_limit: usize) -> Self {
        Self {
            body_limit,
            total_limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body ends early, is too long, or finds the budget used up by other bodies.
    pub async fn collect<B>(&self, body: B) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<BoxError>,
    {
        let mut taken = TakenBytes {
            budget: self,
            count: 0,
        };
        collect_checked(body, Duration::MAX, |joined| taken.update(joined)).await
    }
}

impl TakenBytes<'_> {
    /// Takes what `joined` holds more than before.
    fn update(&mut self, joined: &JoinedBody) -> Result<(), BodyError> {
        let held = joined.held_bytes();
        let more = held.saturating_sub(self.count);
        self.count += more;
        let used = self.budget.used.fetch_add(more, Ordering::Relaxed) + more;
        if joined.len() > self.budget.body_limit {
            return Err(BodyError::TooLarge {
                limit: self.budget.body_limit,
            });
        }
        if used > self.budget.total_limit {
            return Err(BodyError::NoRoom {
                limit: self.budget.total_limit,
            });
        }
        Ok(())
    }
}

impl Drop for TakenBytes<'_> {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.count, Ordering::Relaxed);
    }
}
