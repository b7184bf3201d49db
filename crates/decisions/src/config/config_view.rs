//! Configuration as the request path reads it: indexed and immutable.

use std::collections::HashMap;

use sha2::{Digest, Sha256};

use super::{
    CascadeSpec, ConfigFold, ModelSpec, ObjectSpec, RuleSpec, TripPolicy, VersionPhase,
    VersionSpec, WorkspaceSpec,
};
use crate::names::{CascadeName, ModelName, RuleName, VersionName, WorkspaceName};

/// One consistent configuration; replaced as a whole, never changed in place.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// Offset of the first record of the stream that this view does not include.
    pub next_offset: u64,
    /// Hash of the state that this view was built from.
    pub hash: String,
    /// Workspaces by name.
    pub workspaces: HashMap<WorkspaceName, WorkspaceSpec>,
    /// Models by name.
    pub models: HashMap<ModelName, ModelSpec>,
    /// Versions in order of their names.
    pub versions: Vec<VersionEntry>,
    /// Cascades by name.
    pub cascades: HashMap<CascadeName, CascadeSpec>,
    /// Rules in order of their names.
    pub rules: Vec<(RuleName, RuleSpec)>,
    /// Workspace of each key digest, in lower-case hexadecimal digits.
    keys: HashMap<String, WorkspaceName>,
}

/// A version with the phase in force, which takes trips into account.
#[derive(Debug, Clone)]
pub struct VersionEntry {
    /// Name of the version.
    pub name: VersionName,
    /// Content as published.
    pub spec: VersionSpec,
    /// Phase in force: the published one, or a stricter one after a trip.
    pub phase: VersionPhase,
    /// Whether the guard stopped the version's roll-out.
    pub tripped: bool,
}

impl ConfigView {
    /// Builds the view of the state of `fold`.
    pub fn build(fold: &ConfigFold) -> Self {
        let mut view = Self {
            next_offset: fold.next_offset(),
            hash: fold.hash().to_owned(),
            ..Self::default()
        };
        for (key, spec) in fold.state().live() {
            let name = key.name.as_str();
            match spec {
                ObjectSpec::Workspace(workspace) => view.add_workspace(name, workspace),
                ObjectSpec::Model(model) => {
                    view.models.insert(name.into(), model.clone());
                }
                ObjectSpec::Version(version) => {
                    let tripped = fold.state().trips.contains_key(name);
                    view.versions
                        .push(VersionEntry::new(name, version, tripped));
                }
                ObjectSpec::Cascade(cascade) => {
                    view.cascades.insert(name.into(), cascade.clone());
                }
                ObjectSpec::Rule(rule) => view.rules.push((name.into(), rule.clone())),
            }
        }
        view
    }

    /// Workspace that the secret `key` belongs to; `None` if the key is unknown.
    ///
    /// The look-up is by SHA-256 digest, so its timing reveals nothing about the key itself.
    pub fn workspace_of_key(&self, key: &str) -> Option<&WorkspaceName> {
        self.keys.get(&key_digest(key))
    }

    /// Entry of the version `name`; `None` if it does not exist.
    pub fn version(&self, name: &str) -> Option<&VersionEntry> {
        let index = self
            .versions
            .binary_search_by(|entry| entry.name.as_str().cmp(name))
            .ok()?;
        self.versions.get(index)
    }

    fn add_workspace(&mut self, name: &str, workspace: &WorkspaceSpec) {
        for digest in &workspace.key_digests {
            self.keys.insert(digest.to_ascii_lowercase(), name.into());
        }
        self.workspaces.insert(name.into(), workspace.clone());
    }
}

impl VersionEntry {
    fn new(name: &str, spec: &VersionSpec, tripped: bool) -> Self {
        Self {
            name: name.into(),
            spec: spec.clone(),
            phase: phase_in_force(spec, tripped),
            tripped,
        }
    }
}

/// SHA-256 of a workspace key in lower-case hexadecimal digits.
pub fn key_digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

fn phase_in_force(spec: &VersionSpec, tripped: bool) -> VersionPhase {
    let policy = spec.rollout.as_ref().map(|rollout| rollout.on_trip);
    let floor = match (tripped, policy) {
        (true, Some(TripPolicy::Retire)) => VersionPhase::Retiring,
        (true, _) => VersionPhase::Withdrawn,
        (false, _) => VersionPhase::Serving,
    };
    spec.phase.max(floor)
}
