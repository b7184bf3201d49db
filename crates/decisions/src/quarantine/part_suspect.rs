//! Which parts of prompts are taken for the cause of crashes.
//!
//! All parts of all requests on an upstream are there when it ends. A crash that a guilty part explains does not count
//! against the others.

use std::collections::BTreeSet;

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
    /// Number of distinct requests that ran with it at a crash.
    pub(super) requests: usize,
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
            suspect
                .crashed
                .retain(|upstream| !found.crashed.contains(upstream));
        }
    }
}

/// Index of the suspect that the fewest requests have, among those with about the most crashes.
fn best_explanation(suspects: &[PartSuspect<'_>]) -> Option<usize> {
    let crashes = suspects.iter().map(|suspect| suspect.crashed.len());
    let least = crashes.max()? as f64 * CLOSE_FRACTION;
    let close = suspects
        .iter()
        .enumerate()
        .filter(|(_, suspect)| suspect.crashed.len() as f64 >= least);
    close
        .min_by_key(|(_, suspect)| (suspect.requests, suspect.part))
        .map(|(index, _)| index)
}
