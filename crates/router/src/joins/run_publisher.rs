//! Publishes a run's answer to all its listeners.

use std::sync::Arc;

use bytes::Bytes;
use ferry_decisions::claim::RequestKey;
use ferry_kernel::http::BoxError;
use tokio::sync::{mpsc, oneshot};

use super::shared_run::SharedRun;
use super::{JoinTable, SharedHead};
use crate::caller::CallerRefusal;
use crate::dispatch::{RunAnswer, ServiceAnswer, is_end_marker};

/// Producer side of a shared run. Once it is dropped, the run cannot be joined any more.
pub struct RunPublisher {
    table: Arc<JoinTable>,
    key: RequestKey,
    run: Arc<SharedRun>,
}

impl RunPublisher {
    pub(super) fn new(table: Arc<JoinTable>, key: RequestKey, run: Arc<SharedRun>) -> Self {
        Self { table, key, run }
    }

    /// Publishes a completion; `lost_refusal` is published if the run ends without an answer.
    pub async fn publish_completion(
        self,
        answer: oneshot::Receiver<Result<RunAnswer, CallerRefusal>>,
        lost_refusal: CallerRefusal,
    ) {
        let Some(answer) = self.until_abandoned(answer).await else {
            return;
        };
        match answer.unwrap_or(Err(lost_refusal)) {
            Ok(RunAnswer::Whole { head, body }) => {
                self.unregister();
                self.run.set_head(Ok(SharedHead::Whole(head, body)));
            }
            Ok(RunAnswer::Stream { head, events }) => {
                self.run.set_head(Ok(SharedHead::Stream(head)));
                self.forward_events(events).await;
            }
            Err(refusal) => {
                self.unregister();
                self.run.set_head(Err(refusal));
            }
        }
    }

    /// Publishes a service's answer; `lost_refusal` is published if the run ends without an answer.
    pub async fn publish_service_answer(
        self,
        answer: oneshot::Receiver<Result<ServiceAnswer, CallerRefusal>>,
        lost_refusal: CallerRefusal,
    ) {
        let Some(answer) = self.until_abandoned(answer).await else {
            return;
        };
        let answer = answer.unwrap_or(Err(lost_refusal));
        self.unregister();
        self.run.set_head(answer.map(SharedHead::Service));
    }

    async fn forward_events(&self, mut events: mpsc::Receiver<Result<Bytes, BoxError>>) {
        loop {
            if self.wait_for_room().await.is_none() {
                return;
            }
            match self.until_abandoned(events.recv()).await {
                None => return,
                Some(Some(Ok(event))) => {
                    if is_end_marker(&event) {
                        self.unregister();
                    }
                    self.run.push(event);
                }
                Some(Some(Err(error))) => return self.run.set_end(Err(error.to_string())),
                Some(None) => return self.run.set_end(Ok(())),
            }
        }
    }

    /// Removes the run from the table, so that it cannot be joined any more. This happens before
    /// the answer is passed on, because a caller that has its answer may immediately send the next
    /// request under the same id.
    fn unregister(&self) {
        self.table.remove(&self.key, &self.run);
    }

    /// Waits until the slowest listener has read enough that the buffer has room. `None` once the
    /// run has no listener.
    async fn wait_for_room(&self) -> Option<()> {
        let mut changes = self.run.changes();
        while !self.run.has_room() {
            if self.run.is_abandoned() {
                return None;
            }
            let _ = changes.changed().await;
        }
        Some(())
    }

    /// Output of `future`, or `None` if the last listener is dropped before it completes.
    async fn until_abandoned<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let abandoned = async {
            let mut changes = self.run.changes();
            while !self.run.is_abandoned() {
                let _ = changes.changed().await;
            }
        };
        tokio::select! {
            biased;
            output = future => Some(output),
            () = abandoned => None,
        }
    }
}

impl Drop for RunPublisher {
    fn drop(&mut self) {
        self.unregister();
    }
}
