//! Queries to the admin ports of all routers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ferry_decisions::config::{ConfigVerdict, SnapshotRecord};
use ferry_kernel::http::{HttpClient, HttpError, HttpRequest};
use ferry_platform::log::LogClient;
use ferry_router::admin::RouterStatus;
use futures::future::join_all;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use uuid::Uuid;

use super::OperatorSettings;

/// Time limit for one query to a router.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for one append to the log.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Client for all routers of a fleet and for its log.
#[derive(Debug, Clone)]
pub struct FleetClient {
    http: HttpClient,
    /// Client of the log service that holds the configuration.
    pub log: LogClient,
    /// Addresses and credentials of the platform and the routers.
    pub settings: OperatorSettings,
}

/// Answer of one router.
#[derive(Debug)]
pub struct RouterAnswer<T> {
    /// Name of the router's host.
    pub host: String,
    /// Its answer, or the error of the query.
    pub answer: Result<T, HttpError>,
}

/// Verdict on a change, as an admin port returns it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct VerdictAnswer {
    /// Offset of the change.
    pub offset: u64,
    /// Verdict that the router reached when it folded the change.
    pub verdict: ConfigVerdict,
}

impl FleetClient {
    /// Creates a client with `settings`.
    pub fn new(settings: OperatorSettings) -> Self {
        Self {
            http: HttpClient::default(),
            log: LogClient::new(&settings.platform_url, APPEND_TIMEOUT),
            settings,
        }
    }

    /// Status of every router, or the error of its query.
    pub async fn statuses(&self) -> Vec<RouterAnswer<RouterStatus>> {
        self.query_all("/status").await
    }

    /// Decision traces of `request`, each with the host name of the router that has it.
    pub async fn traces(&self, request: &str) -> Vec<(String, Value)> {
        let answers = self
            .query_all::<Value>(&format!("/explain/{request}"))
            .await;
        let found = answers.into_iter();
        found
            .filter_map(|router| Some((router.host, router.answer.ok()?)))
            .collect()
    }

    /// The newest configuration that any router has folded; `None` before the first record.
    ///
    /// # Errors
    ///
    /// Fails when no router answers.
    pub async fn newest_config(&self) -> Result<Option<SnapshotRecord>, HttpError> {
        let mut newest: Option<SnapshotRecord> = None;
        let mut failure = None;
        let mut answered = false;
        for router in self.query_all::<SnapshotRecord>("/config").await {
            match router.answer {
                Ok(snapshot) => {
                    answered = true;
                    if newest.as_ref().is_none_or(|n| n.as_of < snapshot.as_of) {
                        newest = Some(snapshot);
                    }
                }
                Err(HttpError::Status { status, .. }) if status == 404 => answered = true,
                Err(error) => failure = Some(error),
            }
        }
        match failure {
            Some(error) if !answered => Err(error),
            _ => Ok(newest),
        }
    }

    /// Verdict on the change `id` of each router that has read it, by host name.
    pub async fn verdicts(&self, id: Uuid) -> BTreeMap<String, VerdictAnswer> {
        let answers = self.query_all(&format!("/verdicts/{id}")).await;
        let read = answers.into_iter();
        read.filter_map(|router| Some((router.host, router.answer.ok()?)))
            .collect()
    }

    async fn query_all<T: DeserializeOwned>(&self, path: &str) -> Vec<RouterAnswer<T>> {
        let routers = self.settings.routers.iter();
        let queries = routers.map(|(host, address)| async move {
            RouterAnswer {
                host: host.clone(),
                answer: self.query(*address, path).await,
            }
        });
        join_all(queries).await
    }

    async fn query<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, HttpError> {
        let url = format!("http://{address}{path}");
        let request = HttpRequest::get(&url).bearer(&self.settings.admin_token);
        self.http.fetch_json(request, QUERY_TIMEOUT).await
    }
}
