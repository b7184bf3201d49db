//! Questions to the admin ports of all routers.

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

/// Time allowed for one question.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed for an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of a whole fleet.
#[derive(Debug, Clone)]
pub struct FleetClient {
    http: HttpClient,
    /// Client of the log.
    pub log: LogClient,
    /// Settings.
    pub settings: OperatorSettings,
}

/// Answer of one router.
#[derive(Debug)]
pub struct RouterAnswer<T> {
    /// Name of the router's host.
    pub host: String,
    /// Its answer, or why there is none.
    pub answer: Result<T, HttpError>,
}

/// Verdict on a change, as an admin port gives it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct VerdictAnswer {
    /// Offset of the change.
    pub offset: u64,
    /// Verdict of the fold.
    pub verdict: ConfigVerdict,
}

impl FleetClient {
    /// A client with `settings`.
    pub fn new(settings: OperatorSettings) -> Self {
        Self {
            http: HttpClient::default(),
            log: LogClient::new(&settings.platform_url, APPEND_TIMEOUT),
            settings,
        }
    }

    /// Status of every router.
    pub async fn statuses(&self) -> Vec<RouterAnswer<RouterStatus>> {
        self.ask_all("/status").await
    }

    /// Trail of `request` from every router that keeps one.
    pub async fn trails(&self, request: &str) -> Vec<(String, Value)> {
        let answers = self.ask_all::<Value>(&format!("/explain/{request}")).await;
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
        for router in self.ask_all::<SnapshotRecord>("/config").await {
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

    /// Verdict on the change `id` from each router that has read it.
    pub async fn verdicts(&self, id: Uuid) -> BTreeMap<String, VerdictAnswer> {
        let answers = self.ask_all(&format!("/verdicts/{id}")).await;
        let read = answers.into_iter();
        read.filter_map(|router| Some((router.host, router.answer.ok()?)))
            .collect()
    }

    async fn ask_all<T: DeserializeOwned>(&self, path: &str) -> Vec<RouterAnswer<T>> {
        let routers = self.settings.routers.iter();
        let questions = routers.map(|(host, address)| async move {
            RouterAnswer {
                host: host.clone(),
                answer: self.ask(*address, path).await,
            }
        });
        join_all(questions).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, HttpError> {
        let url = format!("http://{address}{path}");
        let request = HttpRequest::get(&url).bearer(&self.settings.admin_token);
        self.http.fetch_json(request, ASK_TIMEOUT).await
    }
}
