//! `ferryctl get`: shows objects.

use ferry_decisions::config::{ObjectKey, ObjectKind, ObjectSpec, SnapshotRecord, VersionSpec};
use serde_json::json;

use super::flags::Get;
use super::{CtlError, table};
use crate::config_file::ConfigFile;
use crate::fleet::FleetClient;
use crate::publish::PublishError;

/// Prints all objects, the objects of one kind, or one object in the format that `apply` reads.
pub async fn run(fleet: &FleetClient, command: &Get, json: bool) -> Result<u8, CtlError> {
    let kind = command.kind.as_deref().map(parse_kind).transpose()?;
    let newest = fleet.newest_config().await.map_err(PublishError::from)?;
    let Some(snapshot) = newest else {
        println!("no configuration was published yet");
        return Ok(0);
    };
    match (kind, &command.name) {
        (Some(kind), Some(name)) => show_one(&snapshot, &ObjectKey::new(kind, name), json),
        _ => show_list(&snapshot, kind, json),
    }
}

/// Parses the name of an object kind.
pub fn parse_kind(text: &str) -> Result<ObjectKind, CtlError> {
    serde_json::from_value(json!(text)).map_err(|_| {
        CtlError::BadInput(format!(
            "{text:?} is not an object kind; use workspace, model, version, cascade or rule"
        ))
    })
}

fn show_one(snapshot: &SnapshotRecord, key: &ObjectKey, json: bool) -> Result<u8, CtlError> {
    let unknown = || PublishError::UnknownObject(key.clone());
    let spec = snapshot.state.spec(key).ok_or_else(unknown)?;
    if json {
        println!("{}", json!(spec));
        return Ok(0);
    }
    let mut file = ConfigFile::default();
    file.insert(key, spec);
    let text = serde_saphyr::to_string(&file)
        .map_err(|error| CtlError::BadInput(format!("{key} cannot be written as YAML: {error}")))?;
    print!("{text}");
    Ok(0)
}

fn show_list(
    snapshot: &SnapshotRecord,
    kind: Option<ObjectKind>,
    json: bool,
) -> Result<u8, CtlError> {
    let objects = snapshot.state.live();
    let objects = objects.filter(|(key, _)| kind.is_none_or(|kind| key.kind == kind));
    if json {
        let list: Vec<_> = objects
            .map(|(key, spec)| json!({ "key": key, "revision": snapshot.state.revision(key), "spec": spec }))
            .collect();
        println!("{}", json!(list));
        return Ok(0);
    }
    let rows: Vec<_> = objects
        .map(|(key, spec)| row(snapshot, key, spec))
        .collect();
    table::print(&["OBJECT", "REVISION", "SUMMARY"], &rows);
    Ok(0)
}

fn row(snapshot: &SnapshotRecord, key: &ObjectKey, spec: &ObjectSpec) -> Vec<String> {
    let revision = snapshot.state.revision(key).unwrap_or_default();
    let tripped = snapshot.state.trips.get(key.name.as_str());
    let summary = match (spec, tripped) {
        (ObjectSpec::Version(version), Some(trip)) => {
            format!("{}, tripped: {}", version_summary(version), trip.reason)
        }
        (ObjectSpec::Version(version), None) => version_summary(version),
        (ObjectSpec::Workspace(workspace), _) => {
            format!("{} keys", workspace.key_digests.len())
        }
        (ObjectSpec::Cascade(cascade), _) => {
            format!("{} stages over {}", cascade.stages.len(), cascade.model)
        }
        (ObjectSpec::Model(_) | ObjectSpec::Rule(_), _) => String::new(),
    };
    vec![key.to_string(), revision.to_string(), summary]
}

fn version_summary(version: &VersionSpec) -> String {
    let phase = json!(version.phase);
    let phase = phase.as_str().unwrap_or_default();
    format!("{phase}, share {} of {}", version.share, version.model)
}
