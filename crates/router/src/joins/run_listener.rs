//! Consumer side of a shared run, one for each caller.

use std::sync::Arc;

use bytes::Bytes;
use ferry_kernel::http::BoxError;
use futures::Stream;
use tokio::sync::watch;

use super::SharedHead;
use super::shared_run::SharedRun;
use crate::caller::CallerRefusal;

/// Reads the answer of one run. The run is cancelled when its last listener is dropped.
#[derive(Debug)]
pub struct RunListener {
    run: Arc<SharedRun>,
    index: usize,
    changed: watch::Receiver<()>,
}

impl RunListener {
    pub(super) fn new(run: Arc<SharedRun>, index: usize, changed: watch::Receiver<()>) -> Self {
        Self {
            run,
            index,
            changed,
        }
    }

    /// Waits for the start of the answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal with which the run ended.
    pub async fn head(&mut self) -> Result<SharedHead, CallerRefusal> {
        loop {
            if let Some(head) = self.run.head() {
                return head;
            }
            let _ = self.changed.changed().await;
        }
    }

    /// Events of the stream; an error ends it early.
    pub fn into_events(self) -> impl Stream<Item = Result<Bytes, BoxError>> + Send + 'static {
        futures::stream::unfold(Some(self), |listener| async move {
            let mut listener = listener?;
            match listener.next().await {
                Ok(event) => Some((Ok(event), Some(listener))),
                Err(Ok(())) => None,
                Err(Err(reason)) => Some((Err(reason.into()), None)),
            }
        })
    }

    async fn next(&mut self) -> Result<Bytes, Result<(), String>> {
        loop {
            if let Some(step) = self.run.next_event(self.index) {
                return step;
            }
            let _ = self.changed.changed().await;
        }
    }
}

impl Drop for RunListener {
    fn drop(&mut self) {
        self.run.remove_listener(self.index);
    }
}
