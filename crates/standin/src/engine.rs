//! Stand-in of a model engine.
//!
//! It uses continuous batching, orders its queue by priority and caches prompt prefixes. The text
//! of an answer contains the digest of the request, the version and the request id. `GET
//! /standin/counters` returns a [`CountReport`](crate::counters::CountReport).

mod answer_stream;
mod answer_text;
mod batch_queue;
mod chat_run;
mod engine_api;
mod engine_options;
mod engine_state;
mod load_history;
mod prefix_cache;
mod run_table;

pub use answer_text::{DIGEST_PREFIX, REQUEST_PREFIX, VERSION_PREFIX};
pub use engine_options::EngineOptions;
pub(crate) use engine_state::EngineState;
pub(crate) use load_history::{LoadHistory, sample_load};

use std::ops::Deref;
use std::sync::Arc;

use ferry_platform::hosts::{HostEntry, HostRole, HostState};

use crate::counters::RunCounters;
use crate::faults::FaultGate;
use crate::registration::StartError;
use crate::server::{ListedServer, StandinApi, StandinServer};

/// A running engine stand-in; clones share the same engine.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    server: ListedServer,
    state: Arc<EngineState>,
}

impl EngineStandin {
    /// Starts an engine and, if its options name a platform, registers it in the host list.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the platform does not accept the registration.
    pub async fn start(options: EngineOptions) -> Result<Self, StartError> {
        let (gate, crashes) = FaultGate::new();
        let gate = Arc::new(gate);
        let state = EngineState::start(options.clone(), gate.clone());
        let api = StandinApi::Engine(state.clone());
        let server =
            StandinServer::start(options.listen, api, gate, crashes, options.crash_mode).await?;
        let platform = options.platform.as_deref();
        let entry = |server: &StandinServer| host_entry(&options, server);
        let server = ListedServer::register(server, platform, entry).await?;
        Ok(Self { server, state })
    }

    /// Counts of the engine's runs.
    pub fn counters(&self) -> &RunCounters {
        self.state.counters()
    }

    /// Marks the engine as leaving in the host list, waits for requests in flight, and removes its
    /// entry.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

impl Deref for EngineStandin {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}

fn host_entry(options: &EngineOptions, server: &StandinServer) -> HostEntry {
    HostEntry {
        name: options.name.clone(),
        zone: options.zone.clone(),
        role: HostRole::Engine,
        state: HostState::Live,
        address: server.address().to_string(),
        versions: options.versions.clone(),
        service: None,
    }
}
