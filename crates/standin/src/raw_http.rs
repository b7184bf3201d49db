//! HTTP/1.1 over a bare socket, for stand-ins whose bytes no library may order or complete.

use ferry_platform::headers::{AnswerHeaders, BoundRequest};
use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::replica::HEALTH_PATH;

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A request with its path.
struct RawRequest {
    path: String,
    bound: BoundRequest,
}

/// Reads one request with its body; `None` if the connection ends first or the request is malformed.
pub async fn read_request(stream: &mut (impl AsyncRead + Unpin)) -> Option<BoundRequest> {
    Some(read_with_path(stream).await?.bound)
}

/// Reads the next request that is no health check, and answers the health checks before it as the upstream `id`; `None` if the connection ends
/// first or a request is malformed.
pub async fn read_run(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    id: &str,
) -> Option<BoundRequest> {
    loop {
        let request = read_with_path(stream).await?;
        if request.path != HEALTH_PATH {
            return Some(request.bound);
        }
        let mut headers = HeaderMap::new();
        let answer = AnswerHeaders {
            upstream_id: Some(id.to_owned()),
            ..AnswerHeaders::default()
        };
        answer.write(&mut headers);
        let lines = header_lines(&headers);
        let answer = format!("HTTP/1.1 200 OK\r\n{lines}Content-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
}

async fn read_with_path(stream: &mut (impl AsyncRead + Unpin)) -> Option<RawRequest> {
    let head = read_head(stream).await?;
    let path = head.split(' ').nth(1)?.to_owned();
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
    Some(RawRequest {
        path,
        bound: BoundRequest::read(&headers),
    })
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
