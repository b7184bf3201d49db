//! What the system tells of a connection.

use std::mem;
use std::os::fd::AsRawFd;
use std::time::Duration;

use tokio::net::TcpStream;

/// `TCP_CLOSE` and `TCP_CLOSE_WAIT` of the system: the peer has reset the connection, or has closed its side.
const CLOSED_STATES: [u8; 2] = [7, 8];

/// State of a connection, as far as the system tells it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SocketState {
    /// Time since bytes last arrived.
    pub(super) age_of_bytes: Option<Duration>,
    /// Whether the peer has closed the connection; bytes that it sent before may still be unread.
    pub(super) is_closed_by_peer: bool,
}

impl SocketState {
    /// The state of `stream`.
    pub(super) fn of(stream: &TcpStream) -> Self {
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
        if result != 0 {
            return Self::default();
        }
        let end_of_age = mem::offset_of!(libc::tcp_info, tcpi_last_data_recv) + size_of::<u32>();
        let age = Duration::from_millis(u64::from(info.tcpi_last_data_recv));
        Self {
            age_of_bytes: (length as usize >= end_of_age).then_some(age),
            is_closed_by_peer: CLOSED_STATES.contains(&info.tcpi_state),
        }
    }
}
