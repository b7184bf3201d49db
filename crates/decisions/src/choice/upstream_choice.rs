//! The choice itself: exclusions first, then affinity, then the policy.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{ChoiceConfig, ChoicePolicy, UpstreamState, UpstreamView};
use crate::names::{HostName, ZoneName};

/// Candidates that fit on the stack.
const USUAL_CANDIDATES: usize = 32;

/// Indices of the candidates that may be chosen.
type OpenList = SmallVec<[usize; USUAL_CANDIDATES]>;

/// Facts about the request that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// Availability zone of this router.
    pub zone: &'a ZoneName,
    /// Hash of the session or of the prompt prefix, if the request has one.
    pub affinity: Option<u64>,
    /// Upstreams that this request was already handed to.
    pub tried: &'a [HostName],
}

/// Randomness of one choice.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ChoicePoints {
    /// Draws the first candidate; uniform in `0.0..1.0`.
    pub first: f64,
    /// Draws the second candidate; uniform in `0.0..1.0`.
    pub second: f64,
    /// Number of choices that this router made before; only round robin uses it.
    pub turn: u64,
}

/// Why no upstream can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoUpstream {
    /// The host list names no upstream for the version.
    #[error("no upstream serves the version; start one or withdraw the version")]
    NoneListed,
    /// Upstreams exist, but none may get this request.
    #[error(
        "no upstream may get the request ({leaving} leaving, {suspect} suspect, {tried} tried); \
         wait for the Retry-After time"
    )]
    AllExcluded {
        /// Upstreams that are leaving.
        leaving: u32,
        /// Upstreams that are suspect.
        suspect: u32,
        /// Upstreams that had this request before.
        tried: u32,
    },
}

/// Chooses upstreams by one policy.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UpstreamChoice {
    /// How an upstream is chosen.
    pub policy: ChoicePolicy,
    /// Constants of the policy.
    pub config: ChoiceConfig,
}

impl UpstreamChoice {
    /// Index in `views` of the upstream that gets the request.
    ///
    /// # Errors
    ///
    /// Fails when every upstream is leaving, suspect or tried.
    pub fn choose(
        &self,
        views: &[UpstreamView<'_>],
        query: &ChoiceQuery<'_>,
        points: ChoicePoints,
    ) -> Result<usize, NoUpstream> {
        let open = open_upstreams(views, query.tried)?;
        let index = match self.policy {
            ChoicePolicy::RoundRobin => open[(points.turn % open.len() as u64) as usize],
            ChoicePolicy::Random => open[draw(points.first, open.len())],
            ChoicePolicy::LeastReported => least_reported(views, &open),
            ChoicePolicy::TwoChoices => self
                .affine(views, &open, query)
                .unwrap_or_else(|| self.better_of_two(views, &open, query, points)),
        };
        Ok(index)
    }

    /// Index in `views` of the upstream with the least cost of all.
    ///
    /// A request is refused only when it would be late even there.
    ///
    /// # Errors
    ///
    /// Fails when every upstream is leaving, suspect or tried.
    pub fn cheapest(
        &self,
        views: &[UpstreamView<'_>],
        query: &ChoiceQuery<'_>,
    ) -> Result<usize, NoUpstream> {
        let open = open_upstreams(views, query.tried)?;
        let cost = |index: &usize| self.cost(&views[*index], query.zone);
        let least = open
            .iter()
            .copied()
            .min_by(|a, b| f64::total_cmp(&cost(a), &cost(b)));
        Ok(least.unwrap_or(open[0]))
    }

    /// The first upstream that `query.affinity` maps to and that is not much more loaded than the
    /// others.
    fn affine(
        &self,
        views: &[UpstreamView<'_>],
        open: &OpenList,
        query: &ChoiceQuery<'_>,
    ) -> Option<usize> {
        let key = query.affinity?;
        let weight = |index: &usize| xxh3_64_with_seed(views[*index].name.as_str().as_bytes(), key);
        let mut homes = open.clone();
        homes.sort_unstable_by_key(|index| std::cmp::Reverse(weight(index)));
        let total: f64 = open.iter().map(|i| views[*i].load.cost()).sum();
        let bound = self.config.affinity_bound * total / open.len() as f64;
        let fits = |index: &usize| {
            let load = &views[*index].load;
            let slack = self.config.affinity_slack * load.place_cost();
            load.cost() <= bound + slack
        };
        homes
            .into_iter()
            .take(self.config.affinity_homes)
            .find(fits)
    }

    fn better_of_two(
        &self,
        views: &[UpstreamView<'_>],
        open: &OpenList,
        query: &ChoiceQuery<'_>,
        points: ChoicePoints,
    ) -> usize {
        let first = draw(points.first, open.len());
        if open.len() == 1 {
            return open[first];
        }
        let step = 1 + draw(points.second, open.len() - 1);
        let second = (first + step) % open.len();
        let (first, second) = (open[first], open[second]);
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

fn open_upstreams(views: &[UpstreamView<'_>], tried: &[HostName]) -> Result<OpenList, NoUpstream> {
    let mut open = OpenList::new();
    let (mut leaving, mut suspect, mut repeated) = (0, 0, 0);
    for (index, view) in views.iter().enumerate() {
        match view.state {
            UpstreamState::Leaving => leaving += 1,
            UpstreamState::Suspect => suspect += 1,
            UpstreamState::Live if tried.contains(view.name) => repeated += 1,
            UpstreamState::Live => open.push(index),
        }
    }
    match (open.is_empty(), views.is_empty()) {
        (false, _) => Ok(open),
        (true, true) => Err(NoUpstream::NoneListed),
        (true, false) => Err(NoUpstream::AllExcluded {
            leaving,
            suspect,
            tried: repeated,
        }),
    }
}

fn least_reported(views: &[UpstreamView<'_>], open: &OpenList) -> usize {
    let load = |index: &usize| views[*index].load.reported();
    open.iter().copied().min_by_key(load).unwrap_or(open[0])
}

/// Position below `count` that `point` falls on.
fn draw(point: f64, count: usize) -> usize {
    ((point * count as f64) as usize).min(count - 1)
}
