//! Key by which claims and bills identify a request.

use crate::names::{RequestId, WorkspaceName};

value_type! {
    /// A request id within its workspace. Callers choose the ids, so two workspaces may use equal ones.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct RequestKey {
        /// Workspace that sent the request.
        pub workspace: WorkspaceName,
        /// Id of the request, unique within the workspace.
        pub request: RequestId,
    }
}

impl RequestKey {
    /// Creates the key of `request` in `workspace`.
    pub fn new(workspace: &WorkspaceName, request: &RequestId) -> Self {
        Self {
            workspace: workspace.clone(),
            request: request.clone(),
        }
    }
}
