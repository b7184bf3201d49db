//! Socket filters that drop the packets of given sources, as a partition between two hosts does.

use std::io;
use std::net::IpAddr;

use socket2::{SockFilter, SockRef};

/// Offset of the source address in the IPv4 header, for a load relative to the network layer.
const SOURCE_OFFSET: u32 = (libc::SKF_NET_OFF + 12) as u32;
/// Instruction that loads a word at a fixed offset.
const LOAD_WORD: u16 = (libc::BPF_LD | libc::BPF_W | libc::BPF_ABS) as u16;
/// Instruction that compares the loaded word with a constant.
const JUMP_IF_EQUAL: u16 = (libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K) as u16;
/// Instruction that ends the filter; 0 drops the packet.
const RETURN: u16 = (libc::BPF_RET | libc::BPF_K) as u16;

/// Makes `socket` drop all packets from `sources`, and from no other address; connection attempts to a listening socket get no
/// answer then.
pub(super) fn drop_packets_from<'a>(
    socket: &SockRef<'_>,
    sources: impl Iterator<Item = &'a IpAddr>,
) -> io::Result<()> {
    let sources = sources.filter_map(|source| match source {
        IpAddr::V4(source) => Some(*source),
        IpAddr::V6(_) => None,
    });
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET)];
    for source in sources {
        let source = u32::from(source);
        filter.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, source));
        filter.push(SockFilter::new(RETURN, 0, 0, 0));
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    socket.attach_filter(&filter)
}
