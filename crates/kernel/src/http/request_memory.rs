//! Memory that the bodies of callers' requests take, for as long as anybody holds them.

use std::pin::{Pin, pin};
use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::memory::MemoryShares;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use super::body::{read_connection_again, truncated};
use super::{BodyError, BoxError};

/// Length of the beginning of a body, in bytes, for which there is memory of its own, so that large bodies keep no small ones waiting.
const BEGINNING_BYTES: usize = 64 * 1024;
/// Unit in which memory is taken, in bytes.
const UNIT_BYTES: usize = 1_024;
/// Memory that a body takes beside its bytes, in bytes: its handle and what the allocator adds.
const BODY_OVERHEAD: usize = 128;
/// Part of a request's time, as a divisor, for which its body waits for memory.
const ROOM_WAIT_DIVISOR: u32 = 2;
/// Metric: memory taken, in bytes.
const TAKEN_METRIC: &str = "ferry_request_body_bytes";

/// Memory that bodies of requests may take in one process.
#[derive(Debug)]
pub struct RequestMemory {
    beginnings: MemoryShare,
    rests: MemoryShare,
}

/// A share of the memory, in units.
#[derive(Debug)]
struct MemoryShare {
    free: Arc<Semaphore>,
    total_bytes: usize,
}

/// Memory that one body has taken; given back when dropped.
#[derive(Debug, Default)]
pub struct BodyRoom {
    permits: [Option<OwnedSemaphorePermit>; 2],
}

/// The body of a request and the memory that it takes.
#[derive(Debug, Default)]
pub struct HeldBody {
    bytes: Vec<u8>,
    room: BodyRoom,
}

impl RequestMemory {
    /// Memory of the size that `shares` gives to requests.
    pub fn new(shares: MemoryShares) -> Self {
        Self {
            beginnings: MemoryShare::new(shares.small_requests),
            rests: MemoryShare::new(shares.large_requests),
        }
    }

    /// Reads the whole body of a request of at most `limit` bytes, and then lets its connection be read once more: if the caller has left
    /// meanwhile, the handler that awaits this is dropped.
    ///
    /// While there is no memory for the body, it is left unread for half of the time until `deadline`; the rest is left for an answer, also from
    /// another router. A body that is refused is read and thrown away up to twice `limit`, since its caller gets no answer while it sends.
    ///
    /// # Errors
    ///
    /// Fails when the body is longer than `limit`, ends early, or finds no memory.
    pub async fn collect<B>(
        &self,
        body: B,
        limit: usize,
        deadline: Instant,
    ) -> Result<HeldBody, BodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<BoxError>,
    {
        let now = Instant::now();
        let until = now + deadline.saturating_duration_since(now) / ROOM_WAIT_DIVISOR;
        let mut body = pin!(body);
        let held = self.read(body.as_mut(), limit, until).await;
        if held.is_err() {
            discard(body, limit.saturating_mul(2)).await;
        }
        read_connection_again().await;
        held
    }

    async fn read<B>(
        &self,
        mut body: Pin<&mut B>,
        limit: usize,
        until: Instant,
    ) -> Result<HeldBody, BodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<BoxError>,
    {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > limit as u64) {
            return Err(BodyError::TooLarge { limit });
        }
        let most = length.map_or(limit, |length| length as usize);
        if most == 0 {
            return Ok(HeldBody::default());
        }
        let beginning = most.min(BEGINNING_BYTES);
        let mut held = HeldBody::default();
        held.take(0, &self.beginnings, beginning, until).await?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(truncated)?;
            let Ok(piece) = frame.into_data() else {
                continue;
            };
            let length = held.bytes.len() + piece.len();
            if length > limit {
                return Err(BodyError::TooLarge { limit });
            }
            if length > beginning && held.room.permits[1].is_none() {
                held.take(1, &self.rests, most - beginning, until).await?;
            }
            held.bytes.extend_from_slice(&piece);
        }
        held.trim();
        Ok(held)
    }
}

impl MemoryShare {
    fn new(total_bytes: usize) -> Self {
        Self {
            free: Arc::new(Semaphore::new(total_bytes / UNIT_BYTES)),
            total_bytes,
        }
    }

    /// Takes `bytes` of the share as soon as they are free.
    async fn take(&self, bytes: usize, until: Instant) -> Result<OwnedSemaphorePermit, BodyError> {
        let no_room = BodyError::NoRoom {
            limit: self.total_bytes,
        };
        let units = units_of(bytes);
        if units as usize > self.total_bytes / UNIT_BYTES {
            return Err(no_room);
        }
        let taking = Arc::clone(&self.free).acquire_many_owned(units);
        let taken = timeout_at(until, taking).await;
        // The semaphore is never closed.
        taken.ok().and_then(Result::ok).ok_or(no_room)
    }
}

impl HeldBody {
    /// The body; its memory counts as taken until the last clone of it is dropped.
    pub fn into_bytes(self) -> Bytes {
        match self.bytes.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(self),
        }
    }

    /// The body and the room for it, which is to be held for as long as what was made from the body.
    pub fn into_parts(self) -> (Vec<u8>, BodyRoom) {
        (self.bytes, self.room)
    }

    /// Takes `bytes` more of `share` as the permit `index`.
    async fn take(
        &mut self,
        index: usize,
        share: &MemoryShare,
        bytes: usize,
        until: Instant,
    ) -> Result<(), BodyError> {
        let permit = share.take(bytes, until).await?;
        self.room.put(index, permit);
        self.bytes
            .reserve_exact(self.room.bytes() - self.bytes.len());
        Ok(())
    }

    /// Gives back what was taken for a longer body than came.
    fn trim(&mut self) {
        let length = self.bytes.len();
        if units_of(length) as usize == self.room.units() {
            return;
        }
        self.bytes.shrink_to_fit();
        self.room.trim(length);
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyRoom {
    fn put(&mut self, index: usize, permit: OwnedSemaphorePermit) {
        metrics::gauge!(TAKEN_METRIC).increment((permit.num_permits() * UNIT_BYTES) as f64);
        self.permits[index] = Some(permit);
    }

    fn units(&self) -> usize {
        let permits = self.permits.iter().flatten();
        permits.map(OwnedSemaphorePermit::num_permits).sum()
    }

    fn bytes(&self) -> usize {
        self.units() * UNIT_BYTES
    }

    /// Keeps what `length` bytes take, of the beginning first.
    fn trim(&mut self, length: usize) {
        let before = self.bytes();
        let mut kept = units_of(length) as usize;
        for permit in self.permits.iter_mut().flatten() {
            let surplus = permit.num_permits().saturating_sub(kept);
            kept = kept.saturating_sub(permit.num_permits());
            drop(permit.split(surplus));
        }
        metrics::gauge!(TAKEN_METRIC).decrement((before - self.bytes()) as f64);
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        metrics::gauge!(TAKEN_METRIC).decrement(self.bytes() as f64);
    }
}

/// Units that a body of `bytes` takes.
fn units_of(bytes: usize) -> u32 {
    let units = (bytes + BODY_OVERHEAD).div_ceil(UNIT_BYTES);
    u32::try_from(units).unwrap_or(u32::MAX)
}

/// Reads up to `most` bytes of the rest of a body and drops them.
async fn discard<B>(mut body: Pin<&mut B>, most: usize)
where
    B: Body<Data = Bytes>,
{
    let mut left = most;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        match left.checked_sub(length) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}
