//! Facts about a request that decide its route.

use crate::labels::LabelSet;
use crate::names::{VersionName, WorkspaceName};

/// What a route is computed from.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceName,
    /// Labels of the request.
    pub labels: &'a LabelSet,
    /// Model, cascade or version that the caller names.
    pub target: &'a str,
    /// How the request relates to a session.
    pub work: WorkKind<'a>,
    /// Whether the request may run on several stages.
    pub idempotent: bool,
}

/// How a request relates to a session.
#[derive(Debug, Clone, Copy)]
pub enum WorkKind<'a> {
    /// No session, or the first request of one.
    New,
    /// A request of a session, with the version that each stage is pinned to.
    Session(&'a [VersionName]),
}
