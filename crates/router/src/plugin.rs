//! Registry of plug-ins, the parts of the router that register themselves with `inventory`.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use serde_json::Value;

use crate::core::RouterCore;
use crate::peer::{PeerMessage, PeerTopic};

/// One plug-in.
pub struct RouterPlugin {
    /// Name under which the status view shows the plug-in.
    pub name: &'static str,
    /// Topics of the peer messages that the plug-in handles; no two plug-ins share a topic.
    pub topics: &'static [PeerTopic],
    /// Starts the plug-in's tasks, which end when the core's `closing` token is cancelled.
    pub start: fn(&Arc<RouterCore>),
    /// Handles a peer message; the result is the reply if the message was a query.
    pub on_message: fn(Arc<RouterCore>, PeerMessage) -> BoxFuture<'static, Option<Bytes>>,
    /// The plug-in's part of the status view.
    pub view: fn(&RouterCore) -> Value,
}

inventory::collect!(RouterPlugin);

/// All plug-ins that are linked into the program.
pub fn all() -> impl Iterator<Item = &'static RouterPlugin> {
    inventory::iter::<RouterPlugin>.into_iter()
}

/// Message handler for plug-ins without topics; ignores the message.
pub fn no_messages(_: Arc<RouterCore>, _: PeerMessage) -> BoxFuture<'static, Option<Bytes>> {
    Box::pin(async { None })
}

/// Passes a peer message to the plug-in that handles its topic.
pub async fn deliver(core: Arc<RouterCore>, message: PeerMessage) -> Option<Bytes> {
    let plugin = all().find(|plugin| plugin.topics.contains(&message.topic))?;
    (plugin.on_message)(core, message).await
}
