//! Limits of the store that tests set: bytes a second on a response's way, calls a second.

use std::time::Duration;

use bytes::Bytes;
use ferry_kernel::http::{HttpBody, full, streamed};
use futures::stream;
use parking_lot::Mutex;
use tokio::time::{Instant, sleep, sleep_until};

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
    /// Speed at which all responses together are sent, in bytes per second.
    pub total_bytes_per_s: Option<u64>,
}

/// Limits in force, and the calls of the present second.
#[derive(Debug, Default)]
pub(super) struct LimitGate {
    limits: Mutex<StoreLimits>,
    window: Mutex<CallWindow>,
    /// Time at which the responses begun so far are sent, if all share one speed.
    sent_until: Mutex<Option<Instant>>,
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

    /// Waits until a response of `size` bytes is sent behind those that were begun before it, if all share one speed.
    pub(super) async fn wait_turn(&self, size: usize) {
        let Some(speed) = self.limits.lock().total_bytes_per_s else {
            return;
        };
        let time = Duration::from_secs_f64(size as f64 / speed as f64);
        let end = {
            let mut sent_until = self.sent_until.lock();
            let start = sent_until.unwrap_or_else(Instant::now).max(Instant::now());
            *sent_until.insert(start + time)
        };
        sleep_until(end).await;
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
