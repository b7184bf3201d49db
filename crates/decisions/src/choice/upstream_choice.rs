//! Selection of an upstream: exclusions first, then affinity, then the policy.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{ChoiceConfig, ChoicePolicy, UpstreamState, UpstreamView};
use crate::names::{HostName, ZoneName};

/// Candidates stored inline; longer lists go to the heap.
const INLINE_CANDIDATES: usize = 32;

/// Indices of the candidates that may be selected.
pub(crate) type EligibleList = SmallVec<[usize; INLINE_CANDIDATES]>;

/// Properties of the request that the selection depends on.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// Availability zone of this router.
    pub zone: &'a ZoneName,
    /// Hash of the session or of the prompt prefix; absent when the request has neither.
    pub affinity: Option<u64>,
    /// Upstreams that this request was already sent to.
    pub tried: &'a [HostName],
}

/// Random numbers and turn counter for one selection, passed in so that it is deterministic.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ChoicePoints {
    /// Selects the first candidate; uniform in `0.0..1.0`.
    pub first: f64,
    /// Selects the second candidate; uniform in `0.0..1.0`.
    pub second: f64,
    /// Number of selections that this router made before; used only by round robin.
    pub turn: u64,
}

/// Reason why no upstream can be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoUpstream {
    /// The host list contains no upstream for the version.
    #[error("no upstream serves the version; start one or withdraw the version")]
    NoneListed,
    /// Upstreams exist, but none may receive this request.
    #[error(
        "no upstream may get the request ({leaving} leaving, {suspect} suspect, {tried} tried); \
         wait for the Retry-After time"
    )]
    AllExcluded {
        /// Number of upstreams that are leaving.
        leaving: u32,
        /// Number of upstreams that are suspect.
        suspect: u32,
        /// Number of live upstreams that this request was already sent to.
        tried: u32,
    },
}

/// Selects upstreams by one policy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamChoice {
    /// Load-balancing policy.
    pub policy: ChoicePolicy,
    /// Settings of the policy.
    pub config: ChoiceConfig,
}

impl UpstreamChoice {
    /// Index in `views` of the upstream to send the request to.
    ///
    /// # Errors
    ///
    /// Fails when `views` is empty or every upstream is leaving, suspect or already tried.
    pub fn choose(
        &self,
        views: &[UpstreamView<'_>],
        query: &ChoiceQuery<'_>,
        points: ChoicePoints,
    ) -> Result<usize, NoUpstream> {
        let eligible = eligible_upstreams(views.iter(), query.tried)?;
        let index = match self.policy {
            ChoicePolicy::RoundRobin => eligible[(points.turn % eligible.len() as u64) as usize],
            ChoicePolicy::Random => eligible[index_at(points.first, eligible.len())],
            ChoicePolicy::LeastReported => least_reported(views, &eligible),
            ChoicePolicy::TwoChoices => self
                .select_by_affinity(views, &eligible, query)
                .unwrap_or_else(|| self.better_of_two(views, &eligible, query, points)),
        };
        Ok(index)
    }

    /// Index in `views` of the upstream with the lowest cost.
    ///
    /// Admission uses it: a request is refused only when it would be late even on this upstream.
    ///
    /// # Errors
    ///
    /// Fails when `views` is empty or every upstream is leaving, suspect or already tried.
    pub fn cheapest(
        &self,
        views: &[UpstreamView<'_>],
        query: &ChoiceQuery<'_>,
    ) -> Result<usize, NoUpstream> {
        let eligible = eligible_upstreams(views.iter(), query.tried)?;
        let cost = |index: &usize| self.cost(&views[*index], query.zone);
        let least = eligible
            .iter()
            .copied()
            .min_by(|a, b| f64::total_cmp(&cost(a), &cost(b)));
        Ok(least.unwrap_or(eligible[0]))
    }

    /// The first upstream that `query.affinity` maps to by rendezvous hashing and whose cost is
    /// within the affinity bound.
    fn select_by_affinity(
        &self,
        views: &[UpstreamView<'_>],
        eligible: &EligibleList,
        query: &ChoiceQuery<'_>,
    ) -> Option<usize> {
        let key = query.affinity?;
        let weight = |index: &usize| affinity_weight(views[*index].name, key);
        let mut preferred = eligible.clone();
        preferred.sort_unstable_by_key(|index| std::cmp::Reverse(weight(index)));
        let total: f64 = eligible.iter().map(|i| views[*i].load.cost()).sum();
        let bound = self.config.affinity_bound * total / eligible.len() as f64;
        let fits = |index: &usize| {
            let load = &views[*index].load;
            let slack = self.config.affinity_slack * load.slot_cost();
            load.cost() <= bound + slack
        };
        preferred
            .into_iter()
            .take(self.config.affinity_homes)
            .find(fits)
    }

    fn better_of_two(
        &self,
        views: &[UpstreamView<'_>],
        eligible: &EligibleList,
        query: &ChoiceQuery<'_>,
        points: ChoicePoints,
    ) -> usize {
        let first = index_at(points.first, eligible.len());
        if eligible.len() == 1 {
            return eligible[first];
        }
        let step = 1 + index_at(points.second, eligible.len() - 1);
        let second = (first + step) % eligible.len();
        let (first, second) = (eligible[first], eligible[second]);
        let first_cost = self.cost(&views[first], query.zone);
        if self.cost(&views[second], query.zone) < first_cost {
            second
        } else {
            first
        }
    }

    fn cost(&self, view: &UpstreamView<'_>, zone: &ZoneName) -> f64 {
        let factor = if view.zone == zone {
            1.0
        } else {
            self.config.remote_zone_factor
        };
        view.load.cost() * factor
    }
}

/// Indices of the upstreams in `views` that a request may be sent to which was already sent to `tried`.
pub(crate) fn eligible_upstreams<'a>(
    views: impl ExactSizeIterator<Item = &'a UpstreamView<'a>>,
    tried: &[HostName],
) -> Result<EligibleList, NoUpstream> {
    let mut eligible = EligibleList::new();
    let (mut leaving, mut suspect, mut repeated) = (0, 0, 0);
    let is_empty = views.len() == 0;
    for (index, view) in views.enumerate() {
        match view.state {
            UpstreamState::Leaving => leaving += 1,
            UpstreamState::Suspect => suspect += 1,
            UpstreamState::Live if tried.contains(view.name) => repeated += 1,
            UpstreamState::Live => eligible.push(index),
        }
    }
    match (eligible.is_empty(), is_empty) {
        (false, _) => Ok(eligible),
        (true, true) => Err(NoUpstream::NoneListed),
        (true, false) => Err(NoUpstream::AllExcluded {
            leaving,
            suspect,
            tried: repeated,
        }),
    }
}

fn least_reported(views: &[UpstreamView<'_>], eligible: &EligibleList) -> usize {
    let load = |index: &usize| views[*index].load.reported();
    eligible
        .iter()
        .copied()
        .min_by_key(load)
        .unwrap_or(eligible[0])
}

/// Weight of upstream `name` for an affinity key; the key prefers the upstreams with the highest weights (rendezvous hashing).
pub(crate) fn affinity_weight(name: &HostName, key: u64) -> u64 {
    xxh3_64_with_seed(name.as_str().as_bytes(), key)
}

/// Maps `point`, uniform in `0.0..1.0`, to an index below `count`.
pub(crate) fn index_at(point: f64, count: usize) -> usize {
    ((point * count as f64) as usize).min(count - 1)
}
