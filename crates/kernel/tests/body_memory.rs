//! Memory of bodies that arrive in small pieces, in a process of its own, since all of its memory is measured.

use std::convert::Infallible;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use ferry_kernel::http::{BodyBudget, BodyError, collect_limited, complete_events};
use futures::{StreamExt, stream};
use http_body_util::StreamBody;
use hyper::body::Frame;

/// Largest body that is read, in bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;
/// Memory that all bodies may take, in bytes.
const TOTAL_LIMIT: usize = 8 * 1024 * 1024;
/// Memory that the process may take beside it, in bytes.
const TOLERANCE: usize = 4 * 1024 * 1024;
/// Size of a page of memory, in bytes.
const PAGE_BYTES: usize = 4_096;

/// A body without end, a byte to a piece.
fn endless_body() -> StreamBody<impl futures::Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    StreamBody::new(stream::repeat_with(|| {
        Ok(Frame::data(Bytes::copy_from_slice(b"x")))
    }))
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

/// Runs `read`; returns what it took of memory at most.
fn peak_of(read: impl FnOnce() + Send + 'static) -> usize {
    let before = resident_bytes();
    let reader = thread::spawn(read);
    let mut peak = before;
    while !reader.is_finished() {
        peak = peak.max(resident_bytes());
        thread::sleep(Duration::from_millis(1));
    }
    reader.join().unwrap();
    peak - before
}

/// Guards against answers and requests in small chunks that take the memory of the host: each kept chunk took some forty times its size
/// (LOST).
#[test]
fn small_pieces_take_no_more_memory_than_the_limit() {
    let taken = peak_of(|| {
        let budget = BodyBudget::new(BODY_LIMIT, TOTAL_LIMIT);
        let result = futures::executor::block_on(budget.collect(endless_body()));
        assert_eq!(result, Err(BodyError::TooLarge { limit: BODY_LIMIT }));
    });
    assert!(
        taken < TOTAL_LIMIT + TOLERANCE,
        "an answer took {taken} bytes"
    );
    let taken = peak_of(|| {
        let result = futures::executor::block_on(collect_limited(endless_body(), BODY_LIMIT));
        assert_eq!(result, Err(BodyError::TooLarge { limit: BODY_LIMIT }));
    });
    assert!(
        taken < TOTAL_LIMIT + TOLERANCE,
        "a request took {taken} bytes"
    );
}

/// Guards against an event without end, of which the own interface kept all bytes until the deadline (LOST).
#[test]
fn an_event_without_end_is_an_error() {
    let taken = peak_of(|| {
        let events = complete_events(endless_body()).take_while(|events| {
            let is_partial = events.as_ref().is_ok_and(Bytes::is_empty);
            futures::future::ready(is_partial)
        });
        let pieces = futures::executor::block_on(events.count());
        assert!(pieces < BODY_LIMIT, "{pieces} pieces of one event");
    });
    assert!(taken < TOTAL_LIMIT, "an event took {taken} bytes");
}
