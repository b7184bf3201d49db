//! Versions that appear before the order to roll them out is known.

use std::time::Duration;

use smallvec::SmallVec;

use crate::names::VersionName;

/// An upstream's version, and how long ago the upstream was first listed here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedVersion<'a> {
    /// Version of the upstream.
    pub version: &'a VersionName,
    /// Time since the upstream was first listed here.
    pub listed_age: Duration,
}

impl ListedVersion<'_> {
    /// Whether the operator's orders were confirmed after the upstream was listed, for a confirmation of `confirmed_age` ago.
    ///
    /// An operator orders a roll-out before the upstreams of its version start, so that an order for this version is known then.
    pub fn is_confirmed(&self, confirmed_age: Duration) -> bool {
        confirmed_age < self.listed_age
    }
}

/// Versions that requests may use while no order for their service is known: those with a confirmed upstream among `listed`,
/// all upstreams of the service; empty if every version may be used, since none is confirmed.
///
/// The operator's orders were confirmed `confirmed_age` ago.
pub fn confirmed_versions<'a>(
    listed: impl Iterator<Item = ListedVersion<'a>>,
    confirmed_age: Duration,
) -> SmallVec<[&'a VersionName; 2]> {
    let mut versions = SmallVec::new();
    for listed in listed.filter(|listed| listed.is_confirmed(confirmed_age)) {
        if !versions.contains(&listed.version) {
            versions.push(listed.version);
        }
    }
    versions
}
