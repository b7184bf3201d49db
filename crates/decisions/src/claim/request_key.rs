//! Key of a request in claims and bills.

use crate::names::{RequestId, WorkspaceName};

value_type! {
    /// A request id within its workspace: callers choose ids, so that two workspaces may use the same.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct RequestKey {
        /// Workspace that the request came from.
        pub workspace: WorkspaceName,
        /// Id of the request.
        pub request: RequestId,
    }
}

impl RequestKey {
    /// The key of `request` of `workspace`.
    pub fn new(workspace: &WorkspaceName, request: &RequestId) -> Self {
        Self {
            workspace: workspace.clone(),
            request: request.clone(),
        }
    }
}
