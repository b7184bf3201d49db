//! Message in which routers report the requests offered to them.

use ferry_decisions::admission::PriorityClass;
use ferry_decisions::names::{Incarnation, VersionName, WorkspaceName};
use ferry_decisions::value_type;

value_type! {
    /// Counts of offered requests of one router process since its start.
    pub struct AdmissionReport {
        /// Incarnation of the router process.
        pub router: Incarnation,
        /// Requests offered per limited workspace.
        pub workspaces: Vec<WorkspaceCount>,
        /// Requests offered per workspace, version and class.
        pub demands: Vec<DemandCount>,
    }

    /// Count of the requests of one workspace.
    pub struct WorkspaceCount {
        /// Name of the workspace.
        pub workspace: WorkspaceName,
        /// Requests offered since the start of the process.
        pub total: u64,
    }

    /// Count of the requests of one workspace and class for one version.
    pub struct DemandCount {
        /// Name of the workspace.
        pub workspace: WorkspaceName,
        /// Name of the version.
        pub version: VersionName,
        /// Priority class of the requests.
        pub class: PriorityClass,
        /// Requests offered since the start of the process.
        pub total: u64,
    }
}
