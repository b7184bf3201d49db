//! Entry of a stand-in in the platform's host list.

use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpError, HttpRequest};
use ferry_platform::hosts::{HostEntry, HostState};
use hyper::Method;

/// Time allowed for one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Calls made before a registration is given up.
const ATTEMPTS: u32 = 5;
/// Pause between two calls.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Keeps one entry of the host list.
#[derive(Debug, Clone)]
pub(crate) struct HostRegistration {
    http: HttpClient,
    url: String,
    entry: HostEntry,
}

impl HostRegistration {
    /// Puts `entry` onto the list of the platform at `base`.
    pub(crate) async fn announce(base: &str, entry: HostEntry) -> Result<Self, HttpError> {
        let registration = Self {
            http: HttpClient::default(),
            url: format!("{}/hosts/{}", base.trim_end_matches('/'), entry.name),
            entry,
        };
        let mut attempt = 1;
        loop {
            match registration.put().await {
                Ok(()) => return Ok(registration),
                Err(error) if attempt == ATTEMPTS => return Err(error),
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
            attempt += 1;
        }
    }

    /// Shows the host as leaving while `stop` runs, then takes it off the list.
    ///
    /// A platform that is out does not hold up the stop.
    pub(crate) async fn finish(registration: Option<&Self>, stop: impl Future<Output = ()>) {
        let Some(registration) = registration else {
            return stop.await;
        };
        let mut leaving = registration.clone();
        leaving.entry.state = HostState::Leaving;
        let (announced, ()) = futures::join!(leaving.put(), stop);
        let removed = registration.remove().await;
        if let Err(error) = announced.and(removed) {
            spdlog::warn!("the host list did not take the stop: {}", error);
        }
    }

    /// Takes the entry off the list.
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

/// Why a stand-in does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address cannot be bound.
    #[error("the address cannot be bound; name a free one of this host")]
    Bind(#[from] std::io::Error),
    /// The platform did not take the registration.
    #[error("the host list did not take the registration; name a platform that runs")]
    Register(#[from] HttpError),
}
