//! Identity of a configuration object.

use serde::{Deserialize, Serialize};

closed_set! {
    /// Kind of a configuration object.
    pub enum ObjectKind {
        /// A tenant of the deployment.
        Workspace,
        /// A model, which groups versions.
        Model,
        /// A version of a model.
        Version,
        /// An ordered list of stages over versions of one model.
        Cascade,
        /// A selector rule from traffic to versions.
        Rule,
    }
}

/// Kind and name of one object; at most one object has a given key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name, unique within its kind.
    pub name: String,
}

impl ObjectKey {
    /// Creates the key of the object `name` of `kind`.
    pub fn new(kind: ObjectKind, name: &str) -> Self {
        let name = name.to_owned();
        Self { kind, name }
    }
}

impl std::fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let kind = match self.kind {
            ObjectKind::Workspace => "workspace",
            ObjectKind::Model => "model",
            ObjectKind::Version => "version",
            ObjectKind::Cascade => "cascade",
            ObjectKind::Rule => "rule",
        };
        write!(f, "{kind}/{}", self.name)
    }
}
