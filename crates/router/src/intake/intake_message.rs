//! What routers tell each other about the requests that they were offered.

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::names::{Incarnation, VersionName, WorkspaceName};
use ferry_decisions::value_type;

value_type! {
    /// Counts of one router process since its start.
    pub struct IntakeReport {
        /// Life of the process.
        pub router: Incarnation,
        /// Requests offered per limited workspace.
        pub workspaces: Vec<WorkspaceCount>,
        /// Requests offered per workspace, version and class.
        pub demands: Vec<DemandCount>,
    }

    /// Requests of one workspace.
    pub struct WorkspaceCount {
        /// The workspace.
        pub workspace: WorkspaceName,
        /// Requests offered.
        pub total: u64,
    }

    /// Requests of one workspace and class for one version.
    pub struct DemandCount {
        /// The workspace.
        pub workspace: WorkspaceName,
        /// The version.
        pub version: VersionName,
        /// The class.
        pub class: PriorityClass,
        /// Requests offered.
        pub total: u64,
    }
}
