//! Limits of the store that tests set: bytes a second on a response's way, calls a second.

use std::time::Duration;

use bytes::Bytes;
use ferry_kernel::http::{HttpBody, full, streamed};
use futures::stream;
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

/// Size of the pieces in which a response is sent over a link of limited speed, in bytes.
const PIECE_BYTES: usize = 16 * 1024;
/// Time over which calls are counted.
const CALL_WINDOW: Duration = Duration::from_secs(1);

/// Limits that a test sets; absent ones do not apply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreLimits {
    /// Speed at which each response is sent, in bytes per second.
    pub link_bytes_per_s: Option<u64>,
    /// Calls per second of all clients together; further ones are rejected with 429.
    pub calls_per_s: Option<u32>,
}

/// Limits in force, and the calls of the present second.
#[derive(Debug, Default)]
pub(super) struct LimitGate {
    limits: Mutex<StoreLimits>,
    window: Mutex<CallWindow>,
}

#[derive(Debug, Default)]
struct CallWindow {
    began_at: Option<Instant>,
    calls: u32,
}

impl LimitGate {
    /// Replaces the limits.
    pub(super) fn set(&self, limits: StoreLimits) {
        *self.limits.lock() = limits;
    }

    /// Counts a call; returns whether it is within the limit.
    pub(super) fn admit(&self) -> bool {
        let limit = self.limits.lock().calls_per_s;
        let mut window = self.window.lock();
        let now = Instant::now();
        if window.began_at.is_none_or(|at| now - at >= CALL_WINDOW) {
            *window = CallWindow {
                began_at: Some(now),
                calls: 0,
            };
        }
        window.calls += 1;
        limit.is_none_or(|limit| window.calls <= limit)
    }

    /// Body that is sent at the speed of the link.
    pub(super) fn paced(&self, content: Bytes) -> HttpBody {
        let Some(speed) = self.limits.lock().link_bytes_per_s else {
            return full(content);
        };
        streamed(stream::unfold(content, move |mut rest| async move {
            if rest.is_empty() {
                return None;
            }
            let piece = rest.split_to(rest.len().min(PIECE_BYTES));
            sleep(Duration::from_secs_f64(piece.len() as f64 / speed as f64)).await;
            Some((Ok(piece), rest))
        }))
    }
}
