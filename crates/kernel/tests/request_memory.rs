//! Memory for bodies of requests.
//!
//! Load pattern: more large bodies at once than the memory holds, beside small ones.

use std::convert::Infallible;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use ferry_decisions::memory::MemoryShares;
use ferry_kernel::http::{BodyError, HeldBody, RequestMemory};
use futures::{FutureExt, stream};
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;
use tokio::time::Instant;

/// Memory for the beginnings of bodies and for their rests, in bytes.
const SHARES: MemoryShares = MemoryShares {
    small_requests: 256 * 1024,
    large_requests: 512 * 1024,
    answers: 0,
};
/// Longest body, of which the memory holds one and not two, in bytes.
const LARGE: usize = 400 * 1024;
const SMALL: usize = 1_000;
/// Time of a request.
const TIME: Duration = Duration::from_secs(10);

async fn collect(memory: &RequestMemory, length: usize) -> Result<HeldBody, BodyError> {
    let body = Full::new(Bytes::from(vec![7; length]));
    memory.collect(body, LARGE, Instant::now() + TIME).await
}

/// A body whose length is not announced, in `pieces` of 1,000 bytes.
async fn collect_chunked(memory: &RequestMemory, pieces: usize) -> Result<HeldBody, BodyError> {
    let pieces = (0..pieces).map(|_| Ok::<_, Infallible>(Frame::data(vec![7; SMALL].into())));
    let body = StreamBody::new(stream::iter(pieces));
    memory.collect(body, LARGE, Instant::now() + TIME).await
}

/// Guards against callers whose bodies together take the process over its memory (LOST).
#[tokio::test(start_paused = true)]
async fn a_large_body_waits_until_another_one_is_dropped_and_small_ones_go_on() {
    let memory = RequestMemory::new(SHARES);
    let first = collect(&memory, LARGE).await.unwrap().into_bytes();
    let clone = first.slice(..10);
    assert!(first.len() == LARGE && first.iter().all(|byte| *byte == 7));
    let mut second = Box::pin(collect(&memory, LARGE));
    assert!((&mut second).now_or_never().is_none());
    for _ in 0..1_000 {
        assert_eq!(collect(&memory, SMALL).await.unwrap().as_ref().len(), SMALL);
    }
    drop(first);
    tokio::time::sleep(TIME / 10).await;
    assert!((&mut second).now_or_never().is_none(), "a clone is held");
    drop(clone);
    assert_eq!(second.await.unwrap().into_bytes().len(), LARGE);
}

/// Guards against requests that wait for memory until nobody can answer them any more.
#[tokio::test(start_paused = true)]
async fn a_body_without_room_is_refused_after_half_of_its_time() {
    let memory = RequestMemory::new(SHARES);
    let (_, room) = collect(&memory, LARGE).await.unwrap().into_parts();
    let began = Instant::now();
    let refused = collect(&memory, LARGE).await;
    assert!(matches!(refused, Err(BodyError::NoRoom { .. })));
    assert_eq!(began.elapsed().as_millis(), (TIME / 2).as_millis());
    drop(room);
    assert!(collect(&memory, LARGE).await.is_ok());
}

/// Guards against bodies of unknown length that keep the memory of the longest one.
#[tokio::test(start_paused = true)]
async fn a_body_of_unknown_length_keeps_only_what_it_takes() {
    let memory = RequestMemory::new(SHARES);
    let mut held = Vec::new();
    for _ in 0..60 {
        let body = collect_chunked(&memory, 1).await.unwrap();
        assert_eq!(body.as_ref().len(), SMALL);
        held.push(body.into_bytes());
    }
    let large = collect_chunked(&memory, 80).await.unwrap();
    assert_eq!(large.as_ref().len(), 80 * SMALL);
    // The rest of a body of the greatest length does not fit beside what the large one keeps, unless that gave back the most of it.
    assert!(collect(&memory, LARGE).await.is_ok());
}

/// Guards against a refusal that its caller, who still sends the body, does not get.
#[tokio::test(start_paused = true)]
async fn a_refused_body_is_read_to_its_end() {
    let memory = RequestMemory::new(SHARES);
    let held = collect(&memory, LARGE).await.unwrap();
    for (pieces, limit) in [(400, LARGE), (250, 200 * SMALL)] {
        let read = AtomicUsize::new(0);
        let pieces_read = (0..pieces).map(|_| {
            read.fetch_add(1, Ordering::Relaxed);
            Ok::<_, Infallible>(Frame::data(vec![7; SMALL].into()))
        });
        let body = StreamBody::new(stream::iter(pieces_read));
        let refused = memory.collect(body, limit, Instant::now() + TIME).await;
        assert!(refused.is_err());
        assert_eq!(read.into_inner(), pieces);
    }
    drop(held);
}

#[tokio::test(start_paused = true)]
async fn too_long_bodies_are_refused_whatever_they_announce() {
    let memory = RequestMemory::new(SHARES);
    let announced = collect(&memory, LARGE + 1).await;
    assert!(matches!(announced, Err(BodyError::TooLarge { .. })));
    let chunked = collect_chunked(&memory, LARGE / SMALL + 1).await;
    assert!(matches!(chunked, Err(BodyError::TooLarge { .. })));
    assert!(collect(&memory, 0).await.unwrap().into_bytes().is_empty());
    assert!(collect(&memory, LARGE).await.is_ok());
}
