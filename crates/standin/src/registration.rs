//! Registration of a stand-in in the platform's host list.

use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpError, HttpRequest};
use ferry_platform::hosts::{HostEntry, HostState};
use hyper::Method;

/// Timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of calls to register an entry.
const REGISTER_ATTEMPTS: u32 = 5;
/// Pause between two attempts to register.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An entry of the host list, with the client that changes it.
#[derive(Debug, Clone)]
pub(crate) struct HostRegistration {
    http: HttpClient,
    url: String,
    entry: HostEntry,
}

impl HostRegistration {
    /// Registers `entry` in the host list of the platform at the URL `base`.
    pub(crate) async fn register(base: &str, entry: HostEntry) -> Result<Self, HttpError> {
        let registration = Self {
            http: HttpClient::default(),
            url: format!("{}/hosts/{}", base.trim_end_matches('/'), entry.name),
            entry,
        };
        let mut attempt = 1;
        loop {
            match registration.put().await {
                Ok(()) => return Ok(registration),
                Err(error) if attempt == REGISTER_ATTEMPTS => return Err(error),
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
            attempt += 1;
        }
    }

    /// Marks the host as leaving while `stop` runs, then removes its entry.
    ///
    /// A failed call to the platform is logged and does not prevent the stop.
    pub(crate) async fn deregister(registration: Option<&Self>, stop: impl Future<Output = ()>) {
        let Some(registration) = registration else {
            return stop.await;
        };
        let mut leaving = registration.clone();
        leaving.entry.state = HostState::Leaving;
        let (marked, ()) = futures::join!(leaving.put(), stop);
        let removed = registration.remove().await;
        if let Err(error) = marked.and(removed) {
            spdlog::warn!(
                "host list not updated for the stop: {}; the host may stay listed",
                error
            );
        }
    }

    /// Removes the entry from the host list.
    async fn remove(&self) -> Result<(), HttpError> {
        let request = HttpRequest::new(Method::DELETE, &self.url, bytes::Bytes::new());
        self.http.fetch(request, CALL_TIMEOUT).await.map(drop)
    }

    async fn put(&self) -> Result<(), HttpError> {
        let mut request = HttpRequest::post_json(&self.url, &self.entry);
        request.method = Method::PUT;
        self.http.fetch(request, CALL_TIMEOUT).await.map(drop)
    }
}

/// Reason why a stand-in cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address cannot be bound.
    #[error("cannot bind the listen address; choose a free address of this host")]
    Bind(#[from] std::io::Error),
    /// The platform did not accept the registration.
    #[error("cannot register in the host list; check that the platform runs at the given address")]
    Register(#[from] HttpError),
}
