//! Finds the offset at which to start reading a stream to cover a span of log time.

use std::time::Duration;

use ferry_decisions::time::UnixMillis;
use ferry_platform::log::{LogClient, LogError, ReadAnswer};

/// Start position of a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamStart {
    /// Offset of the first record to read.
    pub offset: u64,
    /// Latest log time that a record before `offset` can have; `None` when there is no such record.
    pub lost_until: Option<UnixMillis>,
}

/// Finds the first record with log time `oldest` or later, by binary search.
///
/// Records that the log's retention has deleted have a log time before `expired`.
///
/// # Errors
///
/// Fails when the log does not answer.
pub async fn find_start(
    log: &LogClient,
    stream: &str,
    oldest: UnixMillis,
    expired: UnixMillis,
) -> Result<StreamStart, LogError> {
    let head = probe(log, stream, 0).await?;
    let Some(first) = head.records.first() else {
        return Ok(StreamStart {
            offset: head.next,
            lost_until: (head.next > 0).then_some(expired),
        });
    };
    if first.time >= oldest {
        return Ok(StreamStart {
            offset: first.offset,
            lost_until: (first.offset > 0).then(|| expired.min(first.time)),
        });
    }
    let (mut low, mut high) = (first.offset, head.next);
    let mut lost_until = first.time;
    while high - low > 1 {
        let middle = low + (high - low) / 2;
        let answer = probe(log, stream, middle).await?;
        match answer.records.first() {
            Some(record) if record.time < oldest => {
                low = record.offset.min(high - 1);
                lost_until = lost_until.max(record.time);
            }
            _ => high = middle,
        }
    }
    Ok(StreamStart {
        offset: high,
        lost_until: Some(lost_until),
    })
}

async fn probe(log: &LogClient, stream: &str, from: u64) -> Result<ReadAnswer, LogError> {
    log.read(stream, from, 1, Duration::ZERO).await
}
