//! `ferryctl apply`, `delete`, `withdraw` and `retire`: publish changes.

use std::time::Duration;

use ferry_decisions::config::{ObjectKey, ObjectKind, ObjectSpec, VersionPhase};
use ferry_decisions::lease::PropagationStage;
use ferry_decisions::names::HostName;

use super::flags::{Apply, Delete};
use super::{CtlError, get_command};
use crate::config_file::ConfigFile;
use crate::fleet::FleetClient;
use crate::publish::{ChangeDraft, ChangeProgress, PublishError, publish};

/// How long a change is followed when `--wait` is absent.
const DEFAULT_WAIT: Duration = Duration::from_secs(9);
/// Exit code when a change is not yet in force everywhere.
const NOT_IN_FORCE_EXIT: u8 = 4;

/// Publishes the objects of a file that differ from the current configuration.
pub async fn apply(fleet: &FleetClient, command: &Apply, json: bool) -> Result<u8, CtlError> {
    let file = ConfigFile::read(&command.file)?;
    let mut draft = new_draft(fleet).await?;
    for (key, spec) in file.objects() {
        draft.set(key, spec);
    }
    let wait = command.wait.map_or(DEFAULT_WAIT, Duration::from_secs);
    publish_draft(fleet, draft, wait, json).await
}

/// Deletes an object and publishes the deletion.
pub async fn delete(fleet: &FleetClient, command: &Delete, json: bool) -> Result<u8, CtlError> {
    let kind = get_command::parse_kind(&command.kind)?;
    let mut draft = new_draft(fleet).await?;
    draft.delete(ObjectKey::new(kind, &command.name))?;
    publish_draft(fleet, draft, DEFAULT_WAIT, json).await
}

/// Withdraws `version`, so that it receives no new work.
pub async fn withdraw(fleet: &FleetClient, version: &str, json: bool) -> Result<u8, CtlError> {
    set_phase(fleet, version, VersionPhase::Withdrawn, json).await
}

/// Retires `version`, so that it receives only work of sessions that are pinned to it.
pub async fn retire(fleet: &FleetClient, version: &str, json: bool) -> Result<u8, CtlError> {
    set_phase(fleet, version, VersionPhase::Retiring, json).await
}

async fn set_phase(
    fleet: &FleetClient,
    version: &str,
    phase: VersionPhase,
    json: bool,
) -> Result<u8, CtlError> {
    let mut draft = new_draft(fleet).await?;
    let key = ObjectKey::new(ObjectKind::Version, version);
    if let ObjectSpec::Version(spec) = draft.base_spec(&key)?.clone() {
        let mut spec = spec;
        spec.phase = phase;
        draft.set(key, ObjectSpec::Version(spec));
    }
    publish_draft(fleet, draft, DEFAULT_WAIT, json).await
}

async fn new_draft(fleet: &FleetClient) -> Result<ChangeDraft, CtlError> {
    let newest = fleet.newest_config().await.map_err(PublishError::from)?;
    Ok(ChangeDraft::new(newest.as_ref()))
}

async fn publish_draft(
    fleet: &FleetClient,
    draft: ChangeDraft,
    wait: Duration,
    json: bool,
) -> Result<u8, CtlError> {
    if draft.is_empty() {
        println!("nothing to change");
        return Ok(0);
    }
    let change = draft.finish(&fleet.settings.operator)?;
    let show = |progress: &ChangeProgress| show(progress, json);
    let progress = publish(fleet, &change, wait, show).await?;
    Ok(match progress.stage {
        PropagationStage::InForce => 0,
        PropagationStage::Published | PropagationStage::Accepted => NOT_IN_FORCE_EXIT,
    })
}

fn show(progress: &ChangeProgress, json: bool) {
    if json {
        println!("{}", serde_json::json!(progress));
        return;
    }
    let offset = progress.offset;
    match progress.stage {
        PropagationStage::Published => println!("published at offset {offset}"),
        PropagationStage::Accepted => println!(
            "accepted, in force on {}; waiting for {}",
            names(&progress.confirmed),
            names(&progress.waiting)
        ),
        PropagationStage::InForce if progress.lapsed.is_empty() => println!("in force everywhere"),
        PropagationStage::InForce => println!(
            "in force everywhere; {} admit no work until they have read it",
            names(&progress.lapsed)
        ),
    }
}

fn names(hosts: &[HostName]) -> String {
    let names: Vec<&str> = hosts.iter().map(HostName::as_str).collect();
    names.join(", ")
}
