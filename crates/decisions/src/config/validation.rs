//! Validation of the state that a change would result in.

use std::collections::BTreeMap;

use super::{
    CascadeSpec, ConfigState, ObjectKey, ObjectKind, ObjectSpec, RuleSpec, VersionSpec,
    WorkspaceSpec,
};
use crate::labels::LabelSelector;

/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;
/// Longest name of an object, in bytes.
const NAME_LIMIT: usize = 128;

/// Reason for which a state is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The name is empty, longer than 128 bytes or contains a character that is not allowed.
    #[error("{key}: use 1 to 128 letters, digits, '-', '_' or '.' in the name")]
    BadName {
        /// Object concerned.
        key: ObjectKey,
    },
    /// The content is of another kind than the key.
    #[error("{key}: the content is of another kind; write it under its own kind")]
    WrongKind {
        /// Object concerned.
        key: ObjectKey,
    },
    /// The object refers to another object that does not exist.
    #[error("{key}: {target} does not exist; publish it first or correct the name")]
    UnknownObject {
        /// Object concerned.
        key: ObjectKey,
        /// Object that is missing.
        target: ObjectKey,
    },
    /// A selector matches no version of the configuration.
    #[error("{key}: {field} matches no version; correct its labels")]
    EmptySelection {
        /// Object concerned.
        key: ObjectKey,
        /// Field that holds the selector.
        field: &'static str,
    },
    /// The value of a field is out of its range.
    #[error("{key}: {problem}")]
    BadField {
        /// Object concerned.
        key: ObjectKey,
        /// Name of the field, and the values that are valid.
        problem: String,
    },
    /// Two workspaces accept the same key.
    #[error(
        "{key}: the key digest {digest} is already used by {other}; give each workspace its own key"
    )]
    SharedKey {
        /// Object concerned.
        key: ObjectKey,
        /// Workspace that lists the key already.
        other: ObjectKey,
        /// Digest that both workspaces list.
        digest: String,
    },
}

/// Checks every object of `state` and the references between them.
pub fn validate(state: &ConfigState) -> Result<(), ConfigError> {
    let mut digests: BTreeMap<&str, &ObjectKey> = BTreeMap::new();
    for (key, spec) in state.live() {
        check_object(state, key, spec)?;
        if let ObjectSpec::Workspace(workspace) = spec {
            check_keys(key, workspace, &mut digests)?;
        }
    }
    Ok(())
}

fn check_object(
    state: &ConfigState,
    key: &ObjectKey,
    spec: &ObjectSpec,
) -> Result<(), ConfigError> {
    if !is_name(&key.name) {
        return Err(ConfigError::BadName { key: key.clone() });
    }
    if key.kind != spec.kind() {
        return Err(ConfigError::WrongKind { key: key.clone() });
    }
    match spec {
        ObjectSpec::Workspace(workspace) => check_workspace(key, workspace),
        ObjectSpec::Model(_) => Ok(()),
        ObjectSpec::Version(version) => check_version(state, key, version),
        ObjectSpec::Cascade(cascade) => check_cascade(state, key, cascade),
        ObjectSpec::Rule(rule) => check_rule(state, key, rule),
    }
}

fn check_workspace(key: &ObjectKey, workspace: &WorkspaceSpec) -> Result<(), ConfigError> {
    let digest_is_hex = |digest: &String| {
        digest.len() == DIGEST_DIGITS && digest.bytes().all(|b| b.is_ascii_hexdigit())
    };
    if !workspace.key_digests.iter().all(digest_is_hex) {
        return Err(bad_field(
            key,
            "key_digests: write each as 64 hexadecimal digits (ferryctl digest makes one)",
        ));
    }
    let rate = workspace.limit.as_ref().map(|l| l.requests_per_second);
    if rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
        return Err(bad_field(
            key,
            "limit.requests_per_second: write a number above 0",
        ));
    }
    Ok(())
}

fn check_keys<'a>(
    key: &'a ObjectKey,
    workspace: &'a WorkspaceSpec,
    digests: &mut BTreeMap<&'a str, &'a ObjectKey>,
) -> Result<(), ConfigError> {
    for digest in &workspace.key_digests {
        if let Some(other) = digests.insert(digest, key) {
            return Err(ConfigError::SharedKey {
                key: key.clone(),
                other: other.clone(),
                digest: digest.clone(),
            });
        }
    }
    Ok(())
}

fn check_version(
    state: &ConfigState,
    key: &ObjectKey,
    version: &VersionSpec,
) -> Result<(), ConfigError> {
    require(state, key, ObjectKind::Model, version.model.as_str())?;
    if version.share > 10_000 {
        return Err(bad_field(
            key,
            "share: write parts of 10,000, at most 10000",
        ));
    }
    let Some(rollout) = &version.rollout else {
        return Ok(());
    };
    let ordered = 0.0 <= rollout.tolerated_bad
        && rollout.tolerated_bad < rollout.stopping_bad
        && rollout.stopping_bad <= 1.0;
    if !ordered {
        return Err(bad_field(
            key,
            "rollout: write 0 <= tolerated_bad < stopping_bad <= 1",
        ));
    }
    if rollout.unrated_limit == 0 {
        return Err(bad_field(key, "rollout.unrated_limit: write at least 1"));
    }
    Ok(())
}

fn check_cascade(
    state: &ConfigState,
    key: &ObjectKey,
    cascade: &CascadeSpec,
) -> Result<(), ConfigError> {
    require(state, key, ObjectKind::Model, cascade.model.as_str())?;
    if cascade.stages.is_empty() {
        return Err(bad_field(key, "stages: write at least one"));
    }
    if !(0.0..=1.0).contains(&cascade.quality_target) {
        return Err(bad_field(key, "quality_target: write a number from 0 to 1"));
    }
    cascade
        .stages
        .iter()
        .try_for_each(|stage| check_selector(state, key, "stages.versions", &stage.versions))
}

fn check_rule(state: &ConfigState, key: &ObjectKey, rule: &RuleSpec) -> Result<(), ConfigError> {
    for selector in [&rule.workspaces, &rule.requests] {
        if let Some(problem) = selector.problem() {
            return Err(bad_field(key, &problem));
        }
    }
    for name in &rule.allow_versions {
        require(state, key, ObjectKind::Version, name.as_str())?;
    }
    if let Some(allow) = &rule.allow {
        check_selector(state, key, "allow", allow)?;
    }
    match &rule.deny {
        Some(deny) => deny.problem().map_or(Ok(()), |p| Err(bad_field(key, &p))),
        None => Ok(()),
    }
}

fn check_selector(
    state: &ConfigState,
    key: &ObjectKey,
    field: &'static str,
    selector: &LabelSelector,
) -> Result<(), ConfigError> {
    if let Some(problem) = selector.problem() {
        return Err(bad_field(key, &problem));
    }
    let selected = state.live().any(|(_, spec)| match spec {
        ObjectSpec::Version(version) => selector.matches(&version.labels),
        _ => false,
    });
    if selected {
        return Ok(());
    }
    Err(ConfigError::EmptySelection {
        key: key.clone(),
        field,
    })
}

fn require(
    state: &ConfigState,
    key: &ObjectKey,
    kind: ObjectKind,
    name: &str,
) -> Result<(), ConfigError> {
    let target = ObjectKey::new(kind, name);
    if state.spec(&target).is_some() {
        return Ok(());
    }
    Err(ConfigError::UnknownObject {
        key: key.clone(),
        target,
    })
}

fn bad_field(key: &ObjectKey, problem: &str) -> ConfigError {
    ConfigError::BadField {
        key: key.clone(),
        problem: problem.to_owned(),
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= NAME_LIMIT && name.bytes().all(allowed)
}
