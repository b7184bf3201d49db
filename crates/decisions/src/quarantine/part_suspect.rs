//! Which parts of prompts are taken for the cause of crashes.
//!
//! All parts of all requests on an upstream are there when it ends. A crash that a guilty part explains does not count
//! against the others.
//!
//! A router that has not heard of an upstream's restart counts its next crash under the incarnation before. Reports of one
//! incarnation by several routers may therefore stand for crashes of several incarnations, and explain as many of those that
//! other parts met.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::HostName;
use crate::registry::UpstreamIncarnation;

/// Number of upstreams that must crash under a part, and that no other part explains, for it to be guilty.
pub(super) const GUILTY_UPSTREAMS: usize = 4;
/// Fraction of the most crashes from which a part is a better explanation if fewer requests have it. A crash may
/// be missing from a part's count, for example when its router ended too.
const CLOSE_FRACTION: f64 = 0.75;

/// A part on which no answer is known to have been whole.
#[derive(Debug)]
pub(super) struct PartSuspect<'a> {
    /// Identifier of the part.
    pub(super) part: u64,
    /// Upstreams that crashed under it, without those that a guilty part explains.
    pub(super) crashed: BTreeSet<&'a UpstreamIncarnation>,
    /// Number of routers' reports of crashes under it, by upstream; an upstream keeps its identifier when it restarts.
    pub(super) reports: BTreeMap<&'a HostName, usize>,
    /// Number of distinct requests that ran with it at a crash.
    pub(super) requests: usize,
}

impl PartSuspect<'_> {
    /// Number of the crashes under `other` that this part may have caused.
    fn explains(&self, other: &Self) -> usize {
        let counts = other.crashes_by_upstream();
        let explained = counts.iter().map(|(id, crashes)| {
            let reports = self.reports.get(id).copied().unwrap_or_default();
            reports.min(*crashes)
        });
        explained.sum()
    }

    /// Removes the crashes that `found` explains.
    fn remove_explained(&mut self, found: &Self) {
        self.crashed
            .retain(|upstream| !found.crashed.contains(upstream));
        let own = found.crashes_by_upstream();
        let spare = found.reports.iter().map(|(id, reports)| {
            let crashes = own.get(id).copied().unwrap_or_default();
            (*id, reports.saturating_sub(crashes))
        });
        let mut spare: BTreeMap<&HostName, usize> = spare.collect();
        self.crashed
            .retain(|upstream| match spare.get_mut(&upstream.id) {
                Some(left) if *left > 0 => {
                    *left -= 1;
                    false
                }
                _ => true,
            });
    }

    fn crashes_by_upstream(&self) -> BTreeMap<&HostName, usize> {
        let mut counts = BTreeMap::new();
        for upstream in &self.crashed {
            *counts.entry(&upstream.id).or_default() += 1;
        }
        counts
    }
}

/// Finds the smallest set of parts that explains the crashes, the best explanation first.
pub(super) fn guilty_parts(mut suspects: Vec<PartSuspect<'_>>) -> BTreeSet<u64> {
    let mut guilty = BTreeSet::new();
    loop {
        suspects.retain(|suspect| suspect.crashed.len() >= GUILTY_UPSTREAMS);
        let Some(index) = best_explanation(&suspects) else {
            return guilty;
        };
        let found = suspects.swap_remove(index);
        guilty.insert(found.part);
        for suspect in &mut suspects {
            suspect.remove_explained(&found);
        }
    }
}

/// Index of the suspect that the fewest requests have, among those with about the most crashes.
fn best_explanation(suspects: &[PartSuspect<'_>]) -> Option<usize> {
    let most = suspects
        .iter()
        .max_by_key(|suspect| suspect.crashed.len())?;
    let least = most.crashed.len() as f64 * CLOSE_FRACTION;
    let is_close = |suspect: &PartSuspect<'_>| {
        let crashes = suspect.crashed.len().max(suspect.explains(most));
        crashes as f64 >= least
    };
    let close = suspects
        .iter()
        .enumerate()
        .filter(|(_, suspect)| is_close(suspect));
    close
        .min_by_key(|(_, suspect)| (suspect.requests, suspect.part))
        .map(|(index, _)| index)
}
