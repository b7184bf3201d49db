//! Feed requests in progress, each on its own.

use std::future::pending;

use ferry_decisions::names::HostName;
use ferry_decisions::sync::SourceList;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use super::feed_position::{FeedPosition, FeedPositionMap};
use super::feed_query::{FeedError, QueryUrgency, ask_source};
use crate::relay::relay_core::SharedCore;

/// Result of a query, with the source and the new position in its changes.
type EndedQuery = (HostName, FeedPosition, Result<(), FeedError>);

/// Queries to sync sources, at most one to each at a time.
#[derive(Default)]
pub struct SourceQueries {
    running: FuturesUnordered<BoxFuture<'static, EndedQuery>>,
    /// Sources of the running queries.
    asked: Vec<HostName>,
    positions: FeedPositionMap,
}

impl SourceQueries {
    /// Asks those of `sources` that are not being asked.
    pub fn begin(&mut self, core: &SharedCore, sources: &SourceList) {
        let proven = core.fleet.sync_source();
        for source in sources {
            if self.asked.contains(source) {
                continue;
            }
            let urgency = match proven.as_ref() == Some(source) {
                true => QueryUrgency::Waits,
                false => QueryUrgency::AtOnce,
            };
            let position = self.positions.take(source);
            let (core, source) = (core.clone(), source.clone());
            self.asked.push(source.clone());
            let query = async move {
                let (position, result) = ask_source(&core, &source, position, urgency).await;
                (source, position, result)
            };
            self.running.push(Box::pin(query));
        }
    }

    /// Waits for the end of the next query; forever if none is running. Dropping the future loses no query.
    pub async fn next(&mut self) -> (HostName, Result<(), FeedError>) {
        let Some((source, position, result)) = self.running.next().await else {
            return pending().await;
        };
        self.asked.retain(|asked| *asked != source);
        self.positions.put(&source, position);
        (source, result)
    }
}
