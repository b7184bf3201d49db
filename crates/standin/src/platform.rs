//! Stand-in of the platform: log service, host list and rating service.
//!
//! Besides faults, it is controlled by `PUT /standin/retention` with a [`RetentionRule`],
//! `PUT /standin/lags` with a [`LagOrder`] and `PUT /standin/ratings/{version}` with a
//! [`RatingRule`].
//! `GET /standin/counters` returns a [`PlatformCount`].

mod host_table;
mod log_stream;
mod platform_api;
mod platform_options;
mod rating_service;
mod stream_store;

pub(crate) use platform_api::PlatformState;
pub use platform_api::{LagOrder, PlatformCount};
pub use platform_options::PlatformOptions;
pub use rating_service::{BAD_ANSWER_MARKER, RatingRule};
pub use stream_store::RetentionRule;

use std::io;
use std::ops::Deref;
use std::sync::Arc;

use ferry_platform::hosts::HostEntry;

use crate::faults::FaultGate;
use crate::server::{CrashMode, StandinApi, StandinServer};

/// A running platform stand-in; clones share the same platform.
#[derive(Debug, Clone)]
pub struct PlatformStandin {
    server: StandinServer,
    state: Arc<PlatformState>,
}

impl PlatformStandin {
    /// Starts a platform with empty streams and an empty host list.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(options: PlatformOptions) -> io::Result<Self> {
        let (gate, crashes) = FaultGate::new();
        let state = Arc::new(PlatformState::new(&options));
        let api = StandinApi::Platform(state.clone());
        let address = options.listen;
        let server =
            StandinServer::start(address, api, Arc::new(gate), crashes, CrashMode::Simulate)
                .await?;
        Ok(Self { server, state })
    }

    /// Counts of the calls answered so far.
    pub fn counters(&self) -> PlatformCount {
        self.state.count()
    }

    /// Adds or changes an entry of the host list, which shows the change after its lag.
    pub fn put_host(&self, entry: HostEntry) {
        self.state.put_host(entry);
    }

    /// Sets how the answers of a version are scored.
    pub fn rate_version(&self, version: &str, rule: RatingRule) {
        self.state.set_rating(version.into(), rule);
    }
}

impl Deref for PlatformStandin {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}
