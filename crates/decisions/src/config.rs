//! Configuration: the objects that operators publish, and the fold that accepts or refuses changes
//! in log order.

mod change_set;
mod config_fold;
mod config_state;
mod config_view;
mod object_key;
mod object_spec;
mod validation;

pub use change_set::{ChangeSet, ConfigRecord, ObjectChange, SnapshotRecord, TripRecord};
pub use config_fold::{ConfigFold, ConfigVerdict, RecordOutcome};
pub use config_state::{ConfigState, StoredObject, StoredTrip};
pub use config_view::{ConfigView, VersionEntry, key_digest};
pub use object_key::{ObjectKey, ObjectKind};
pub use object_spec::{
    CascadeSpec, CascadeStage, ModelSpec, ObjectSpec, RateLimit, RolloutSpec, RuleSpec, TripPolicy,
    VersionPhase, VersionSpec, WorkspaceSpec,
};
pub use validation::ConfigError;
