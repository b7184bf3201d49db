//! Appends a change and waits until it is in force.

use std::time::Duration;

use ferry_decisions::config::{ChangeSet, ConfigRecord, ConfigVerdict};
use ferry_decisions::lease::PropagationStage;
use ferry_platform::log::LogError;
use ferry_router::config::CONFIG_STREAM;
use tokio::time::{Instant, sleep};

use super::{ChangeFollower, ChangeProgress, PublishError};
use crate::fleet::FleetClient;

/// Interval between two polls of the routers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the routers are queried for a change that the log did not confirm.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Publishes `change` and follows it for at most `wait`; `on_progress` receives each new progress.
///
/// # Errors
///
/// Fails when the change was refused or when it is not known whether it was published. A change
/// that is accepted but not in force in time is no error: the progress names the hosts that it
/// waits for.
pub async fn publish(
    fleet: &FleetClient,
    change: &ChangeSet,
    wait: Duration,
    mut on_progress: impl FnMut(&ChangeProgress),
) -> Result<ChangeProgress, PublishError> {
    let offset = append(fleet, change).await?;
    let deadline = Instant::now() + wait;
    let freshness = Duration::from_millis(fleet.settings.freshness_ms);
    let mut follower = ChangeFollower::new(offset, freshness);
    let mut last: Option<ChangeProgress> = None;
    loop {
        let mut progress = follower.poll(fleet).await;
        if !check_verdict(fleet, change).await? {
            progress.stage = PropagationStage::Published;
        }
        if last.as_ref() != Some(&progress) {
            on_progress(&progress);
        }
        if progress.stage == PropagationStage::InForce || Instant::now() >= deadline {
            return Ok(progress);
        }
        last = Some(progress);
        sleep(POLL_INTERVAL).await;
    }
}

/// Appends the change. If the log does not confirm it, the routers are queried by the change's id
/// to find out whether the log holds it.
async fn append(fleet: &FleetClient, change: &ChangeSet) -> Result<u64, PublishError> {
    let record = ConfigRecord::Change(change.clone());
    let data = serde_json::to_vec(&record).expect("a record has only plain fields");
    match fleet.log.append(CONFIG_STREAM, data).await {
        Ok(offset) => Ok(offset),
        Err(LogError::Unconfirmed(reason)) => read_back(fleet, change, &reason).await,
        Err(error) => Err(PublishError::NotPublished(error.to_string())),
    }
}

async fn read_back(
    fleet: &FleetClient,
    change: &ChangeSet,
    reason: &str,
) -> Result<u64, PublishError> {
    let limit = Instant::now() + READ_BACK_TIMEOUT;
    while Instant::now() < limit {
        let verdicts = fleet.verdicts(change.id).await;
        if let Some(answer) = verdicts.values().next() {
            return Ok(answer.offset);
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(PublishError::Unconfirmed(reason.to_owned()))
}

/// Whether a router has accepted the change; fails when one has refused it.
async fn check_verdict(fleet: &FleetClient, change: &ChangeSet) -> Result<bool, PublishError> {
    let verdicts = fleet.verdicts(change.id).await;
    for answer in verdicts.values() {
        match &answer.verdict {
            ConfigVerdict::Accepted => {}
            ConfigVerdict::Conflict { key, .. } => return Err(PublishError::Conflict(key.clone())),
            ConfigVerdict::Invalid { problem } => {
                return Err(PublishError::Invalid(problem.clone()));
            }
        }
    }
    Ok(!verdicts.is_empty())
}
