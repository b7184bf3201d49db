//! Route of a request: stages with the versions that are allowed in each.

use smallvec::SmallVec;

use super::{RouteQuery, SessionBinding};
use crate::config::{ConfigView, RuleSpec, VersionEntry, VersionPhase};
use crate::labels::LabelSelector;
use crate::names::{RuleName, VersionName};

/// Versions of a stage stored inline; longer lists go to the heap.
const INLINE_VERSIONS: usize = 4;

/// Route of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutePlan {
    /// Stages in the order in which they are tried; at least one.
    pub stages: SmallVec<[RouteStage; 3]>,
    /// Excluded versions, each with the reason.
    pub excluded: Vec<(VersionName, ExclusionReason)>,
    /// Whether the target is a cascade.
    pub cascade: bool,
}

/// Versions of one stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteStage {
    /// Allowed versions with their traffic shares in units of 1/10,000; at least one.
    pub versions: SmallVec<[(VersionName, u32); INLINE_VERSIONS]>,
}

/// Reason why a version is not used.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum ExclusionReason {
    /// No rule allows it.
    NotAllowed,
    /// A rule denies it.
    Denied {
        /// The first rule that denies it.
        rule: RuleName,
    },
    /// It accepts only requests of sessions that are pinned to it.
    Retiring,
    /// It accepts no requests at all.
    Withdrawn,
    /// The guard stopped its roll-out.
    Tripped,
    /// Its number of unrated answers has reached the limit that its roll-out sets for this router.
    UnratedLimit,
    /// Its traffic share is 0, so it receives no new sessions or unpinned requests.
    NoShare,
    /// It is not the version that the session is pinned to.
    NotPinned,
}

/// Reason why a request has no route.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The target is neither a model, nor a cascade, nor a version.
    #[error("no model, cascade or version is named {0:?}; ask for one that `GET /v1/models` lists")]
    UnknownTarget(String),
    /// Versions exist, but none may be used.
    #[error("no version of {target:?} is allowed; ask an operator to change the workspace's rules")]
    NothingAllowed {
        /// Target that the caller requested.
        target: String,
        /// Excluded versions, each with the reason.
        excluded: Vec<(VersionName, ExclusionReason)>,
    },
    /// The version that the session is pinned to accepts no more requests.
    #[error("version {0} of this session was withdrawn; start a new session")]
    SessionVersionWithdrawn(VersionName),
}

impl RoutePlan {
    /// Computes the route of `query` under the configuration `view`.
    ///
    /// # Errors
    ///
    /// Fails when the target is unknown, when none of its versions may be used, or when a version
    /// that the session is pinned to may not be used.
    pub fn compute(view: &ConfigView, query: &RouteQuery<'_>) -> Result<Self, PlanError> {
        let (candidates, cascade) = candidate_stages(view, query.target)?;
        let mut excluded = Vec::new();
        let mut stages = SmallVec::new();
        for stage_versions in &candidates {
            let pinned = pinned_version(query.session, stage_versions);
            let mut stage = RouteStage {
                versions: SmallVec::new(),
            };
            for entry in stage_versions {
                match exclusion(view, query, entry) {
                    None => stage.versions.push((entry.name.clone(), entry.spec.share)),
                    Some(reason) => excluded.push((entry.name.clone(), reason)),
                }
            }
            if let Some(version) = pinned.filter(|_| stage.versions.is_empty()) {
                return Err(PlanError::SessionVersionWithdrawn(version.clone()));
            }
            if !stage.versions.is_empty() {
                stages.push(stage);
            }
        }
        if stages.is_empty() {
            if let SessionBinding::Session([first, ..]) = query.session {
                return Err(PlanError::SessionVersionWithdrawn(first.clone()));
            }
            let target = query.target.to_owned();
            return Err(PlanError::NothingAllowed { target, excluded });
        }
        Ok(Self {
            stages,
            excluded,
            cascade,
        })
    }
}

impl RouteStage {
    /// Selects a version by traffic share; `point` is uniform in `0.0..1.0`.
    pub fn pick(&self, point: f64) -> &VersionName {
        let total: u64 = self.versions.iter().map(|(_, s)| u64::from(*s)).sum();
        let mut remaining = (point * total as f64) as u64;
        for (name, share) in &self.versions {
            if remaining < u64::from(*share) {
                return name;
            }
            remaining -= u64::from(*share);
        }
        &self.versions[0].0
    }
}

/// Whether requests of `query` may be sent to `version` under `view`; checked again before each
/// dispatch.
pub fn is_allowed(view: &ConfigView, query: &RouteQuery<'_>, version: &VersionName) -> bool {
    view.version(version.as_str())
        .is_some_and(|entry| exclusion(view, query, entry).is_none())
}

type StageCandidates<'a> = SmallVec<[Vec<&'a VersionEntry>; 3]>;

fn candidate_stages<'a>(
    view: &'a ConfigView,
    target: &str,
) -> Result<(StageCandidates<'a>, bool), PlanError> {
    if let Some(cascade) = view.cascades.get(target) {
        let stages = cascade
            .stages
            .iter()
            .map(|stage| versions_of(view, cascade.model.as_str(), &stage.versions))
            .collect();
        return Ok((stages, true));
    }
    if view.models.contains_key(target) {
        let all_versions = LabelSelector::default();
        let stages = SmallVec::from_iter([versions_of(view, target, &all_versions)]);
        return Ok((stages, false));
    }
    match view.version(target) {
        Some(entry) => Ok((SmallVec::from_iter([vec![entry]]), false)),
        None => Err(PlanError::UnknownTarget(target.to_owned())),
    }
}

fn versions_of<'a>(
    view: &'a ConfigView,
    model: &str,
    selector: &LabelSelector,
) -> Vec<&'a VersionEntry> {
    view.versions
        .iter()
        .filter(|entry| entry.spec.model.as_str() == model)
        .filter(|entry| selector.matches(&entry.spec.labels))
        .collect()
}

/// The version among `stage_versions` that the session is pinned to; `None` without a session.
fn pinned_version<'a>(
    session: SessionBinding<'_>,
    stage_versions: &[&'a VersionEntry],
) -> Option<&'a VersionName> {
    let SessionBinding::Session(pins) = session else {
        return None;
    };
    stage_versions
        .iter()
        .map(|entry| &entry.name)
        .find(|name| pins.contains(name))
}

fn exclusion(
    view: &ConfigView,
    query: &RouteQuery<'_>,
    entry: &VersionEntry,
) -> Option<ExclusionReason> {
    let in_session = match query.session {
        SessionBinding::Session(pins) if !pins.contains(&entry.name) => {
            return Some(ExclusionReason::NotPinned);
        }
        SessionBinding::Session(_) => true,
        SessionBinding::New => false,
    };
    match entry.phase {
        _ if entry.tripped && (entry.phase == VersionPhase::Withdrawn || !in_session) => {
            return Some(ExclusionReason::Tripped);
        }
        VersionPhase::Withdrawn => return Some(ExclusionReason::Withdrawn),
        VersionPhase::Retiring if !in_session => return Some(ExclusionReason::Retiring),
        VersionPhase::Serving if !in_session && entry.spec.share == 0 => {
            return Some(ExclusionReason::NoShare);
        }
        VersionPhase::Retiring | VersionPhase::Serving => {}
    }
    rule_exclusion(view, query, entry)
}

fn rule_exclusion(
    view: &ConfigView,
    query: &RouteQuery<'_>,
    entry: &VersionEntry,
) -> Option<ExclusionReason> {
    let Some(workspace) = view.workspaces.get(query.workspace) else {
        return Some(ExclusionReason::NotAllowed);
    };
    let labels = &workspace.labels;
    let mut allowed = false;
    for (name, rule) in &view.rules {
        if !rule.workspaces.matches(labels) || !rule.requests.matches(query.labels) {
            continue;
        }
        if rule
            .deny
            .as_ref()
            .is_some_and(|d| d.matches(&entry.spec.labels))
        {
            return Some(ExclusionReason::Denied { rule: name.clone() });
        }
        allowed |= allows(rule, entry);
    }
    (!allowed).then_some(ExclusionReason::NotAllowed)
}

fn allows(rule: &RuleSpec, entry: &VersionEntry) -> bool {
    let selected = rule
        .allow
        .as_ref()
        .is_some_and(|allow| allow.matches(&entry.spec.labels));
    selected || rule.allow_versions.contains(&entry.name)
}
