//! When the bytes of a request arrived at this host, which may be long before they are read.

use std::mem;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::Duration;

use hyper::http::Extensions;
use metrics::histogram;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Extension of a request: when its last bytes that were read with its head had arrived at this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivalTime(pub Instant);

impl ArrivalTime {
    /// Arrival of the request with these `extensions`; now if it is not known.
    pub fn of(extensions: &Extensions) -> Instant {
        let known = extensions.get::<Self>();
        known.map_or_else(Instant::now, |arrival| arrival.0)
    }
}

/// Arrival of the bytes that were last read from one connection.
#[derive(Debug, Clone, Default)]
pub(super) struct ArrivalClock(Arc<Mutex<Option<Instant>>>);

impl ArrivalClock {
    /// Records that bytes of `stream` have just been read.
    pub(super) fn record(&self, stream: &TcpStream) {
        let age = age_of_bytes(stream);
        if let Some(age) = age {
            histogram!("ferry_caller_bytes_age_seconds").record(age.as_secs_f64());
        }
        let now = Instant::now();
        *self.0.lock() = now.checked_sub(age.unwrap_or_default());
    }

    /// Arrival of a request whose head was read with the last bytes; now if that is not known.
    pub(super) fn of_request(&self) -> ArrivalTime {
        ArrivalTime(self.0.lock().take().unwrap_or_else(Instant::now))
    }
}

/// Time since bytes of `stream` last arrived; `None` if the system does not tell.
fn age_of_bytes(stream: &TcpStream) -> Option<Duration> {
    // SAFETY: `tcp_info` consists of integers, for which zeros are valid.
    let mut info: libc::tcp_info = unsafe { mem::zeroed() };
    let mut length = mem::size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while `stream` lives, and the kernel writes at most `length` bytes into `info`.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut length,
        )
    };
    let end_of_age = mem::offset_of!(libc::tcp_info, tcpi_last_data_recv) + size_of::<u32>();
    let has_age = result == 0 && length as usize >= end_of_age;
    has_age.then(|| Duration::from_millis(u64::from(info.tcpi_last_data_recv)))
}
