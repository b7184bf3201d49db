//! Properties of a request that determine its route.

use crate::labels::LabelSet;
use crate::names::{VersionName, WorkspaceName};

/// Input from which a route is computed, besides the configuration.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Workspace of the caller.
    pub workspace: &'a WorkspaceName,
    /// Labels of the request.
    pub labels: &'a LabelSet,
    /// Model, cascade or version that the caller requested.
    pub target: &'a str,
    /// Whether the request belongs to a session, and to which versions it is pinned.
    pub session: SessionBinding<'a>,
    /// Whether the request may run on several stages.
    pub idempotent: bool,
}

/// Whether a request belongs to a session, and to which versions it is pinned.
#[derive(Debug, Clone, Copy)]
pub enum SessionBinding<'a> {
    /// No session, or the first request of one.
    New,
    /// A later request of a session, with the version that each stage is pinned to.
    Session(&'a [VersionName]),
}
