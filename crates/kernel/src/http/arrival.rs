//! When the bytes of a request arrived at this host, which may be long before they are read.

use std::sync::Arc;

use hyper::http::Extensions;
use metrics::histogram;
use parking_lot::Mutex;
use tokio::time::Instant;

use super::socket_state::SocketState;

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
    /// Records that bytes of a connection in this `state` have just been read.
    pub(super) fn record(&self, state: SocketState) {
        if let Some(age) = state.age_of_bytes {
            histogram!("ferry_caller_bytes_age_seconds").record(age.as_secs_f64());
        }
        let now = Instant::now();
        *self.0.lock() = now.checked_sub(state.age_of_bytes.unwrap_or_default());
    }

    /// Arrival of a request whose head was read with the last bytes; now if that is not known.
    pub(super) fn of_request(&self) -> ArrivalTime {
        ArrivalTime(self.0.lock().take().unwrap_or_else(Instant::now))
    }
}
