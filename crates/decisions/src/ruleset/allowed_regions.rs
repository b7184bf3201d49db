//! Regions in which a request may be handled.

use std::sync::Arc;

use crate::names::RegionName;

/// The regions that a rule or a workspace allows; all of them by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<Arc<[RegionName]>>);

impl AllowedRegions {
    /// Only `regions`; none at all if that is empty.
    pub fn only(regions: impl IntoIterator<Item = RegionName>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// The listed regions; `None` if there is no list, so that all are allowed.
    pub fn list(&self) -> Option<&[RegionName]> {
        self.0.as_deref()
    }

    /// Whether `region` is allowed; one that is not known only if there is no list.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        let Some(list) = self.list() else {
            return true;
        };
        region.is_some_and(|region| list.contains(region))
    }

    /// The regions that both allow.
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (self.list(), other.list()) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(list), Some(_)) => {
                let both = list.iter().filter(|region| other.allows(Some(region)));
                Self::only(both.cloned())
            }
        }
    }
}
