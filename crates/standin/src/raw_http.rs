//! HTTP/1.1 over a bare socket, for stand-ins whose bytes no library may order or complete.

use ferry_platform::headers::BoundRequest;
use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use tokio::io::{AsyncRead, AsyncReadExt};

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Reads one request with its body; `None` if the connection ends first or the request is malformed.
pub async fn read_request(stream: &mut (impl AsyncRead + Unpin)) -> Option<BoundRequest> {
    let head = read_head(stream).await?;
    let mut headers = HeaderMap::new();
    for line in head.lines().skip(1) {
        let Some((name, value)) = line.split_once(": ") else {
            continue;
        };
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.insert(name, HeaderValue::from_str(value).ok()?);
    }
    let length = match headers.get(CONTENT_LENGTH) {
        Some(length) => length.to_str().ok()?.parse().ok()?,
        None => 0,
    };
    if length > MAX_BODY_BYTES {
        return None;
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(BoundRequest::read(&headers))
}

async fn read_head(stream: &mut (impl AsyncRead + Unpin)) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(HEAD_END) {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// `headers` as lines of a head.
pub fn header_lines(headers: &HeaderMap) -> String {
    let lines = headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some(format!("{name}: {value}\r\n"))
    });
    lines.collect()
}
