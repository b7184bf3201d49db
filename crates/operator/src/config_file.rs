//! YAML files in which operators define configuration objects.

use std::collections::BTreeMap;
use std::path::Path;

use ferry_decisions::config::{
    CascadeSpec, ModelSpec, ObjectKey, ObjectKind, ObjectSpec, RuleSpec, VersionSpec, WorkspaceSpec,
};
use ferry_kernel::settings::{self, SettingsError};
use serde::{Deserialize, Serialize};

/// Objects of a configuration file by kind and name; names are unique within a kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigFile {
    /// Workspaces by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub workspaces: BTreeMap<String, WorkspaceSpec>,
    /// Models by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub models: BTreeMap<String, ModelSpec>,
    /// Versions by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub versions: BTreeMap<String, VersionSpec>,
    /// Cascades by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub cascades: BTreeMap<String, CascadeSpec>,
    /// Rules by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub rules: BTreeMap<String, RuleSpec>,
}

impl ConfigFile {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is malformed; the diagnostic points at the line.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        settings::read_file(path)
    }

    /// All objects of the file, grouped by kind and sorted by name within a kind.
    pub fn objects(&self) -> Vec<(ObjectKey, ObjectSpec)> {
        let mut objects = Vec::new();
        add(
            &mut objects,
            ObjectKind::Workspace,
            &self.workspaces,
            ObjectSpec::Workspace,
        );
        add(
            &mut objects,
            ObjectKind::Model,
            &self.models,
            ObjectSpec::Model,
        );
        add(
            &mut objects,
            ObjectKind::Version,
            &self.versions,
            ObjectSpec::Version,
        );
        add(
            &mut objects,
            ObjectKind::Cascade,
            &self.cascades,
            ObjectSpec::Cascade,
        );
        add(
            &mut objects,
            ObjectKind::Rule,
            &self.rules,
            ObjectSpec::Rule,
        );
        objects
    }

    /// Inserts an object, so that a file can be written from the folded configuration state.
    pub fn insert(&mut self, key: &ObjectKey, spec: &ObjectSpec) {
        let name = key.name.clone();
        match spec.clone() {
            ObjectSpec::Workspace(spec) => drop(self.workspaces.insert(name, spec)),
            ObjectSpec::Model(spec) => drop(self.models.insert(name, spec)),
            ObjectSpec::Version(spec) => drop(self.versions.insert(name, spec)),
            ObjectSpec::Cascade(spec) => drop(self.cascades.insert(name, spec)),
            ObjectSpec::Rule(spec) => drop(self.rules.insert(name, spec)),
        }
    }
}

fn add<T: Clone>(
    objects: &mut Vec<(ObjectKey, ObjectSpec)>,
    kind: ObjectKind,
    specs: &BTreeMap<String, T>,
    wrap: fn(T) -> ObjectSpec,
) {
    let entries = specs.iter();
    objects.extend(entries.map(|(name, spec)| (ObjectKey::new(kind, name), wrap(spec.clone()))));
}
