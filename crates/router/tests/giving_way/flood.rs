//! Peers that send without end, on threads of their own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

use ferry_kernel::http::HttpRequest;

/// Bytes of one write, about.
const WRITE_BYTES: usize = 64 * 1024;
/// An interim head.
const INTERIM_HEAD: &str = "HTTP/1.1 100 Continue\r\n\r\n";
/// A piece of one byte.
const SMALL_PIECE: &str = "1\r\nx\r\n";
/// Head of an answer in pieces.
const PIECES_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a server sends without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloodKind {
    InterimHeads,
    SmallPieces,
}

/// Starts a server that answers each request without end; returns its address.
pub fn flood_server(kind: FloodKind) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || answer_without_end(stream.unwrap(), kind));
        }
    });
    address
}

fn answer_without_end(mut stream: TcpStream, kind: FloodKind) {
    let mut head = [0; 16 * 1024];
    if !stream.read(&mut head).is_ok_and(|length| length > 0) {
        return;
    }
    match kind {
        FloodKind::InterimHeads => send_without_end(&mut stream, "", INTERIM_HEAD),
        FloodKind::SmallPieces => send_without_end(&mut stream, PIECES_HEAD, SMALL_PIECE),
    }
}

/// Sends `request` to `address`, with a body without end.
pub fn flood_caller(address: SocketAddr, request: &HttpRequest) {
    let target = request.url.splitn(4, '/').nth(3).unwrap();
    let headers = request.headers.iter();
    let lines = headers.map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap()));
    let lines: String = lines.collect();
    let head = format!("POST /{target} HTTP/1.1\r\n{lines}Transfer-Encoding: chunked\r\n\r\n");
    thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        send_without_end(&mut stream, &head, SMALL_PIECE);
    });
}

fn send_without_end(stream: &mut TcpStream, start: &str, piece: &str) {
    let pieces = piece.repeat(WRITE_BYTES / piece.len());
    let mut sent = stream.write_all(start.as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(pieces.as_bytes());
    }
}
