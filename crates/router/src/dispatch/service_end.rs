//! Finds out whether a service lived on after a connection ended that marked the end of its answer.

use std::io::ErrorKind;
use std::time::Duration;

use ferry_decisions::ends::{AnswerEnd, EndMark, EndPlace, EndVerdict, ProcessSign};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::upstream::UpstreamHost;

/// Timeout for connecting to the service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a new connection must stay open: a port that is held for a process that has ended may accept it and close it.
const LASTING_TIME: Duration = Duration::from_millis(20);

/// What becomes of an answer of `host` whose body ended with its connection.
pub async fn judge_close(host: &UpstreamHost) -> EndVerdict {
    let end = AnswerEnd {
        mark: EndMark::Close,
        place: EndPlace::Boundary,
    };
    let sign = process_sign(&host.entry.address).await;
    let verdict = end.verdict(sign, host.is_leaving());
    spdlog::info!("answer ended without proof that it is complete", kv: {
        upstream = host.entry.name.as_str(),
        verdict = verdict.name(),
    });
    verdict
}

async fn process_sign(address: &str) -> ProcessSign {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return ProcessSign::Refused;
        }
        Ok(Err(_)) | Err(_) => return ProcessSign::Unreached,
    };
    // The service sends nothing of its own: the connection becomes readable by its end only.
    match timeout(LASTING_TIME, stream.readable()).await {
        Ok(_) => ProcessSign::Unreached,
        Err(_) => ProcessSign::Accepted,
    }
}
