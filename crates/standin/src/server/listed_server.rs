//! A server whose stand-in is in the platform's host list.

use std::ops::Deref;

use ferry_platform::hosts::HostEntry;

use super::StandinServer;
use crate::registration::{HostRegistration, StartError};

/// A running server, with its entry where the stand-in has one.
#[derive(Debug, Clone)]
pub(crate) struct ListedServer {
    server: StandinServer,
    registration: Option<HostRegistration>,
}

impl ListedServer {
    /// Registers `server` at `platform`, where one is named, by the entry that `entry` makes.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not take the registration.
    pub(crate) async fn announce(
        server: StandinServer,
        platform: Option<&str>,
        entry: impl FnOnce(&StandinServer) -> HostEntry,
    ) -> Result<Self, StartError> {
        let registration = match platform {
            Some(platform) => Some(HostRegistration::announce(platform, entry(&server)).await?),
            None => None,
        };
        Ok(Self {
            server,
            registration,
        })
    }

    /// Announces the stop, finishes requests in flight, and takes the entry off the host list.
    pub(crate) async fn stop(&self) {
        HostRegistration::finish(self.registration.as_ref(), self.server.stop()).await;
    }
}

impl Deref for ListedServer {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}
