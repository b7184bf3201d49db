//! Which API keys a configuration accepts, and whether its requests need one.

use std::collections::HashMap;

use super::KeyHolder;

/// API keys of a configuration.
///
/// Whether a request needs a key does not follow from the number of keys: a configuration whose last key was taken away asks for one, and
/// nobody holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyPolicy {
    /// The configuration says nothing of workspaces: no request needs a key.
    Open,
    /// It lists workspaces, or an empty list of them: a request needs one of their keys, unless its route is public.
    Keyed(HashMap<String, KeyHolder>),
}

impl Default for KeyPolicy {
    /// Asks for keys that nobody holds.
    fn default() -> Self {
        Self::Keyed(HashMap::new())
    }
}

impl KeyPolicy {
    /// Workspace that holds `key`.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        match self {
            Self::Open => None,
            Self::Keyed(holders) => holders.get(key),
        }
    }

    /// Holder of any of the keys of `workspace`.
    pub fn holder_of(&self, workspace: &str) -> Option<&KeyHolder> {
        match self {
            Self::Open => None,
            Self::Keyed(holders) => holders
                .values()
                .find(|holder| holder.workspace.as_str() == workspace),
        }
    }

    /// Number of keys; `None` if no request needs one.
    pub fn key_count(&self) -> Option<usize> {
        match self {
            Self::Open => None,
            Self::Keyed(holders) => Some(holders.len()),
        }
    }
}
