//! A caller that reads the bytes of an answer until its connection ends.

use std::io;
use std::time::Duration;

use ferry_kernel::http::HttpRequest;
use ferry_standin::raw_http::header_lines;
use hyper::Uri;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time within which the end of an answer must arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Bytes of an answer, head included, as its caller received them.
#[derive(Debug)]
pub struct RawBytes {
    /// All bytes that arrived.
    pub bytes: Vec<u8>,
    /// Whether the connection ended with a reset.
    pub was_reset: bool,
}

/// Sends `request` by HTTP `version`, such as `HTTP/1.1`, on a connection of its own, and reads its answer until the connection ends.
///
/// # Errors
///
/// Fails when the request can't be sent, or the answer does not end within 15 s.
pub async fn call_raw(request: HttpRequest, version: &str) -> io::Result<RawBytes> {
    let uri: Uri = request.url.parse().map_err(io::Error::other)?;
    let address = uri.authority().map(ToString::to_string).unwrap_or_default();
    let mut stream = TcpStream::connect(address).await?;
    let head = format!(
        "{} {} {version}\r\n{}Connection: close\r\nContent-Length: {}\r\n\r\n",
        request.method,
        uri.path(),
        header_lines(&request.headers),
        request.body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&request.body).await?;
    let mut bytes = Vec::new();
    // A reset leaves what was read before it.
    let end = timeout(READ_TIMEOUT, stream.read_to_end(&mut bytes)).await?;
    Ok(RawBytes {
        bytes,
        was_reset: end.is_err(),
    })
}
