//! The part of HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Longest head or body that a stand-in reads.
const LIMIT: usize = 64 * 1024 * 1024;

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// By its length or its last chunk.
    Framed,
    /// By an orderly end of the connection, without length and chunks.
    Closed,
    /// It was cut: the connection ended before the length or the last chunk, or was reset.
    Cut,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1).unwrap_or("0");
        word.parse().unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the first line and the headers; `None` at an orderly end before them.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let text = line.trim_end();
        match (text.is_empty(), message.first.is_empty()) {
            (true, true) => {}
            (true, false) => return Ok(Some(message)),
            (false, true) => message.first = text.to_owned(),
            (false, false) => {
                if let Some((name, value)) = text.split_once(':') {
                    message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
                }
            }
        }
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        if size > LIMIT {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads a request.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
        let length: usize = length;
        if length > LIMIT {
            return Err(io::ErrorKind::InvalidData.into());
        }
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        read_chunks(reader, &mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Reads an answer; a body that was cut is kept as far as it came.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<(Message, End)> {
    loop {
        let head = read_head(reader)?;
        let mut message = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        if (100..200).contains(&message.status()) {
            continue;
        }
        let mut body = Vec::new();
        let length: Option<usize> = message.header("content-length").and_then(|text| text.parse().ok());
        let end = if message.header("transfer-encoding").is_some() {
            match read_chunks(reader, &mut body) {
                Ok(()) => End::Framed,
                Err(_) => End::Cut,
            }
        } else if let Some(length) = length {
            let read = reader.take(length as u64).read_to_end(&mut body);
            match read {
                Ok(count) if count == length => End::Framed,
                _ => End::Cut,
            }
        } else {
            match reader.read_to_end(&mut body) {
                Ok(_) => End::Closed,
                Err(_) => End::Cut,
            }
        };
        message.body = body;
        return Ok((message, end));
    }
}

/// The bytes of an answer with a length.
pub fn framed(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = head(status, headers);
    out.truncate(out.len() - 2);
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

/// The bytes of an answer's head.
pub fn head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut out = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    out.into_bytes()
}

/// What a stand-in does with a request; it writes the answer itself. Returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream, IpAddr) -> io::Result<bool> + Send + Sync>;

/// Serves `address` in threads of its own, for the life of the process.
pub fn serve(address: SocketAddr, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
    Ok(())
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let peer = stream.peer_addr()?.ip();
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if !handler(&request, &mut stream, peer)? {
            break;
        }
    }
    Ok(())
}

/// Makes one call on a new connection.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> io::Result<(Message, End)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream))
}
