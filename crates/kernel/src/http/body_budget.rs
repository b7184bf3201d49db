//! Limit on the bytes of all bodies that are being read at the same time.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::{BodyError, BoxError};

/// Bytes that bodies may take while they are read, in one process.
#[derive(Debug)]
pub struct BodyBudget {
    /// Maximum size of one body, in bytes.
    body_limit: usize,
    /// Maximum size of all bodies, in bytes.
    total_limit: usize,
    used: AtomicUsize,
}

/// Bytes that one body has taken of the budget, given back when dropped.
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
    pub async fn collect<B>(&self, mut body: B) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: Into<BoxError>,
    {
        let mut taken = TakenBytes {
            budget: self,
            count: 0,
        };
        let mut chunks = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyError::Truncated(error.into().to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            taken.take(data.len())?;
            chunks.push(data);
        }
        Ok(chunks.concat().into())
    }
}

impl TakenBytes<'_> {
    fn take(&mut self, count: usize) -> Result<(), BodyError> {
        self.count += count;
        let used = self.budget.used.fetch_add(count, Ordering::Relaxed) + count;
        if self.count > self.budget.body_limit {
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
