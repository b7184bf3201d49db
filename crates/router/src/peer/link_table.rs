//! Open links by host.

use std::collections::HashMap;
use std::sync::Arc;

use ferry_decisions::names::HostName;

use super::peer_link::PeerLink;

/// Which end dialled a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkSide {
    /// Dialled by this router.
    Dialled,
    /// Dialled by the peer and accepted by this router.
    Accepted,
}

/// Links by host; at most one of each side per host.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: HashMap<HostName, HostLinks>,
}

#[derive(Debug, Default)]
struct HostLinks {
    dialled: Option<Arc<PeerLink>>,
    accepted: Option<Arc<PeerLink>>,
}

impl LinkTable {
    /// Adds a link; returns the link that it replaces.
    pub fn insert(&mut self, side: LinkSide, link: Arc<PeerLink>) -> Option<Arc<PeerLink>> {
        let links = self.links.entry(link.peer().host.clone()).or_default();
        links.link_mut(side).replace(link)
    }

    /// Removes `link` unless another one has replaced it.
    pub fn remove(&mut self, side: LinkSide, link: &Arc<PeerLink>) {
        let host = &link.peer().host;
        let Some(links) = self.links.get_mut(host) else {
            return;
        };
        links
            .link_mut(side)
            .take_if(|present| Arc::ptr_eq(present, link));
        if links.dialled.is_none() && links.accepted.is_none() {
            self.links.remove(host);
        }
    }

    /// The link to send on; the dialled link is preferred over the accepted one.
    pub fn get(&self, host: &HostName) -> Option<&Arc<PeerLink>> {
        let links = self.links.get(host)?;
        links.dialled.as_ref().or(links.accepted.as_ref())
    }

    /// Hosts with a link, in order of their names.
    pub fn hosts(&self) -> Vec<HostName> {
        let mut hosts: Vec<HostName> = self.links.keys().cloned().collect();
        hosts.sort();
        hosts
    }
}

impl HostLinks {
    fn link_mut(&mut self, side: LinkSide) -> &mut Option<Arc<PeerLink>> {
        match side {
            LinkSide::Dialled => &mut self.dialled,
            LinkSide::Accepted => &mut self.accepted,
        }
    }
}
