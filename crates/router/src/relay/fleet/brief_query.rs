//! Queries to other routers whose answers are awaited for a moment only.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::HostName;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::FleetManager;
use crate::peer::{PeerError, PeerTopic};

/// Time for which the answer is awaited; requests of callers wait meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of the query itself, which may have to open a link that later queries use.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

impl FleetManager {
    /// Sends `query` to `host` and waits a moment for the answer. The query goes on after that, so that a link that is being opened is there for the
    /// next one.
    ///
    /// # Errors
    ///
    /// Fails when this router has not joined the fleet, or the host does not answer in time.
    pub async fn ask_briefly<Q, R>(
        &self,
        host: &HostName,
        topic: PeerTopic,
        query: Q,
    ) -> Result<R, PeerError>
    where
        Q: Serialize + Send + Sync + 'static,
        R: DeserializeOwned + Send + 'static,
    {
        let hub = self
            .hub()
            .ok_or_else(|| PeerError::NotConnected(host.clone()))?;
        let (hub, asked) = (Arc::clone(hub), host.clone());
        let sending =
            tokio::spawn(async move { hub.send_query(&asked, topic, &query, QUERY_TIMEOUT).await });
        match timeout(ANSWER_TIMEOUT, sending).await {
            Ok(Ok(answer)) => answer,
            _ => Err(PeerError::TimedOut(host.clone())),
        }
    }
}
