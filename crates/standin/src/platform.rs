//! Stand-in of the platform: log service, host list and rating service.
//!
//! Orders besides the faults: `PUT /standin/retention` with a [`RetentionRule`],
//! `PUT /standin/lags` with a [`LagOrder`], `PUT /standin/ratings/{version}` with a [`RatingRule`].
//! `GET /standin/counters` gives a [`PlatformCount`].

mod host_table;
mod log_stream;
mod platform_api;
mod platform_options;
mod rating_desk;
mod stream_store;

pub(crate) use platform_api::PlatformState;
pub use platform_api::{LagOrder, PlatformCount};
pub use platform_options::PlatformOptions;
pub use rating_desk::{BAD_ANSWER_MARKER, RatingRule};
pub use stream_store::RetentionRule;

use std::io;
use std::ops::Deref;
use std::sync::Arc;

use ferry_platform::hosts::HostEntry;

use crate::faults::FaultGate;
use crate::server::{CrashMode, StandinApi, StandinServer};

/// A running platform.
#[derive(Debug, Clone)]
pub struct PlatformStandin {
    server: StandinServer,
    state: Arc<PlatformState>,
}

impl PlatformStandin {
    /// Starts a platform.
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

    /// What was called so far.
    pub fn counters(&self) -> PlatformCount {
        self.state.count()
    }

    /// Registers or changes a host, which the list shows after its lag.
    pub fn put_host(&self, entry: HostEntry) {
        self.state.put_host(entry);
    }

    /// Sets how answers of a version are scored.
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
