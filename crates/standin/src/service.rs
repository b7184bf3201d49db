//! Stand-in of a plain service, some of whose calls must not be repeated.
//!
//! It answers every call with a description of the call, as a [`ServiceEcho`], and counts the runs
//! of each request id. `GET /load` returns a load report that lags behind the actual load, and
//! `GET /standin/counters` returns a [`CountReport`](crate::counters::CountReport).

mod service_options;
mod service_state;

pub use service_options::ServiceOptions;
pub use service_state::ServiceEcho;
pub(crate) use service_state::ServiceState;

use std::ops::Deref;
use std::sync::Arc;

use ferry_platform::hosts::{HostEntry, HostRole, HostState};

use crate::counters::RunCounters;
use crate::faults::FaultGate;
use crate::registration::StartError;
use crate::server::{ListedServer, StandinApi, StandinServer};

/// A running service stand-in; clones share the same service.
#[derive(Debug, Clone)]
pub struct ServiceStandin {
    server: ListedServer,
    state: Arc<ServiceState>,
}

impl ServiceStandin {
    /// Starts a service and, if its options name a platform, registers it in the host list.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the platform does not accept the registration.
    pub async fn start(options: ServiceOptions) -> Result<Self, StartError> {
        let (gate, crashes) = FaultGate::new();
        let gate = Arc::new(gate);
        let state = ServiceState::start(options.clone(), gate.clone());
        let api = StandinApi::Service(state.clone());
        let server =
            StandinServer::start(options.listen, api, gate, crashes, options.crash_mode).await?;
        let platform = options.platform.as_deref();
        let entry = |server: &StandinServer| host_entry(&options, server);
        let server = ListedServer::register(server, platform, entry).await?;
        Ok(Self { server, state })
    }

    /// Counts of the service's runs.
    pub fn counters(&self) -> &RunCounters {
        self.state.counters()
    }

    /// Marks the service as leaving in the host list, waits for calls in flight, and removes its
    /// entry.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

impl Deref for ServiceStandin {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}

fn host_entry(options: &ServiceOptions, server: &StandinServer) -> HostEntry {
    HostEntry {
        name: options.name.clone(),
        zone: options.zone.clone(),
        role: HostRole::Service,
        state: HostState::Live,
        address: server.address().to_string(),
        versions: Vec::new(),
        service: Some(options.service.clone()),
    }
}
