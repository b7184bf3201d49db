//! Opens the connections of pooled clients.

use std::task::{Context, Poll};
use std::time::Duration;

use futures::TryFutureExt;
use futures::future::MapOk;
use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use super::PacedStream;

/// Time allowed for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Connection of a pooled client.
type PooledStream = TokioIo<PacedStream<TcpStream>>;

/// Opens connections whose reading gives way to everything else. The head of an answer is bounded by the time of its call.
#[derive(Debug, Clone)]
pub(super) struct PacedConnector {
    inner: HttpConnector,
}

impl Default for PacedConnector {
    fn default() -> Self {
        let mut inner = HttpConnector::new();
        inner.set_nodelay(true);
        inner.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self { inner }
    }
}

impl Service<Uri> for PacedConnector {
    type Response = PooledStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future =
        MapOk<<HttpConnector as Service<Uri>>::Future, fn(TokioIo<TcpStream>) -> PooledStream>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        self.inner.call(uri).map_ok(paced)
    }
}

fn paced(stream: TokioIo<TcpStream>) -> PooledStream {
    TokioIo::new(PacedStream::without_limit(stream.into_inner()))
}
