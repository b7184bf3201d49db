//! Server of a stand-in that may be registered in the platform's host list.

use std::ops::Deref;

use ferry_platform::hosts::HostEntry;

use super::StandinServer;
use crate::registration::{HostRegistration, StartError};

/// Running server, with its registration in the host list if it has one.
#[derive(Debug, Clone)]
pub(crate) struct ListedServer {
    server: StandinServer,
    registration: Option<HostRegistration>,
}

impl ListedServer {
    /// Registers `server` in the host list of `platform`, if given, with the result of `entry`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not accept the registration.
    pub(crate) async fn register(
        server: StandinServer,
        platform: Option<&str>,
        entry: impl FnOnce(&StandinServer) -> HostEntry,
    ) -> Result<Self, StartError> {
        let registration = match platform {
            Some(platform) => Some(HostRegistration::register(platform, entry(&server)).await?),
            None => None,
        };
        Ok(Self {
            server,
            registration,
        })
    }

    /// Marks the host as leaving in the host list, waits for requests in flight, and removes the
    /// entry.
    pub(crate) async fn stop(&self) {
        HostRegistration::deregister(self.registration.as_ref(), self.server.stop()).await;
    }
}

impl Deref for ListedServer {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}
