//! Time window of request ids: how long an id can be claimed and its claims must be kept.
//!
//! A UUIDv7 id contains a time. Routers check it against their clock when a request arrives. The
//! fold checks it again against the log's time of the claim's record, so that all readers agree.

use crate::names::RequestId;
use crate::time::UnixMillis;

/// Greatest age at which a router accepts an id, in milliseconds.
pub const ID_WINDOW_MS: u64 = 15 * 60 * 1_000;
/// Greatest time by which an id may be dated in the future, in milliseconds.
pub const ID_FUTURE_MS: u64 = 30 * 1_000;
/// Greatest tolerated difference between the clocks of the log and a router, and greatest tolerated
/// backward step of the log's own clock, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 60 * 1_000;
/// Range of log time before the present that a new owner reads, in milliseconds; no older record
/// holds an id that can still be claimed.
pub const READ_BACK_MS: u64 = ID_WINDOW_MS + ID_FUTURE_MS + 4 * CLOCK_SKEW_MS;

/// Why an id cannot be used for a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdTimeError {
    /// The id holds no time.
    #[error("the request id {id:?} is not a UUIDv7; send a new UUIDv7 as Idempotency-Key")]
    NotTimed {
        /// Id as sent.
        id: String,
    },
    /// The id is older than the window in which repeats are recognised.
    #[error(
        "the request id is {age_ms} ms old, more than the {ID_WINDOW_MS} ms for which ids are \
         remembered; find out whether the first send ran, then send a new UUIDv7"
    )]
    TooOld {
        /// Age of the id, in milliseconds.
        age_ms: u64,
    },
    /// The id is dated in the future.
    #[error(
        "the request id is dated {ahead_ms} ms in the future, more than {ID_FUTURE_MS} ms; \
         correct the sender's clock and send a new UUIDv7"
    )]
    TooNew {
        /// Time by which the id is ahead of the router's clock, in milliseconds.
        ahead_ms: u64,
    },
}

/// Checks the time in the id `request` at `now` and returns it.
///
/// # Errors
///
/// Fails if the id holds no time, or a time outside the window in which repeats are recognised.
pub fn check_id_time(request: &RequestId, now: UnixMillis) -> Result<UnixMillis, IdTimeError> {
    let Some(ms) = request.time_ms() else {
        return Err(IdTimeError::NotTimed {
            id: request.as_str().to_owned(),
        });
    };
    let time = UnixMillis(ms);
    let age_ms = now.since(time);
    let ahead_ms = time.since(now);
    if age_ms > ID_WINDOW_MS {
        return Err(IdTimeError::TooOld { age_ms });
    }
    if ahead_ms > ID_FUTURE_MS {
        return Err(IdTimeError::TooNew { ahead_ms });
    }
    Ok(time)
}

/// Whether a record appended at the log time `record` may claim an id of time `id`.
pub(super) fn is_claimable(id: UnixMillis, record: UnixMillis) -> bool {
    record <= id.plus_ms(ID_WINDOW_MS + CLOCK_SKEW_MS)
        && id <= record.plus_ms(ID_FUTURE_MS + CLOCK_SKEW_MS)
}

/// Log time after which no record can claim an id of time `id`.
pub(super) fn claimable_until(id: UnixMillis) -> UnixMillis {
    id.plus_ms(ID_WINDOW_MS + 2 * CLOCK_SKEW_MS)
}

/// Whether no record at or before the log time `lost` can have claimed an id of time `id`.
pub(super) fn is_newer_than_lost_records(id: UnixMillis, lost: UnixMillis) -> bool {
    id > lost.plus_ms(ID_FUTURE_MS + 2 * CLOCK_SKEW_MS)
}
