//! Selection of an upstream by the expected completion of a request against the time that its caller has.

use std::time::Duration;

use smallvec::SmallVec;

use super::WorkEstimate;
use super::contention_model::UsualContention;
use super::log_normal::LogNormal;
use crate::choice::{
    ChoicePoints, ChoiceQuery, EligibleList, NoUpstream, UpstreamView, affinity_weight,
    eligible_upstreams, index_at,
};
use crate::names::{HostName, ZoneName};
use crate::time::nearest_span;

/// Candidates stored inline; longer lists go to the heap.
const INLINE_CANDIDATES: usize = 32;
/// Step from one random point to the next one that is derived from it; successive points are spread evenly.
const POINT_STEP: f64 = 0.618_033_988_75;
/// Factor on the wait by which a request is refused: by old figures, waits are too short while queues grow. In trials of the replay
/// at 1.2 times the capacity (140 engines, seed 3) 75.8 % were in time with this factor and 72.8 % without.
const WAIT_FACTOR: f64 = 1.5;
/// Completions up to this multiple of the earliest one count as equally early.
const NEAR_EARLIEST: f64 = 1.15;

/// One candidate of the choice.
#[derive(Debug, Clone, Copy)]
pub struct WorkCandidate<'a> {
    /// State and number of requests of the upstream.
    pub view: UpstreamView<'a>,
    /// Expected time left of all requests known there, as a sum, at usual speed.
    pub backlog: Duration,
    /// Time that runs take there as a multiple of the usual one.
    pub slowness: f64,
    /// Time that work takes on its machine now as a multiple of the usual one.
    pub contention: f64,
    /// Tokens of the prompt that the upstream has in memory.
    pub cached_tokens: u32,
    /// Tokens for which the upstream has free memory, less what the requests there are expected to produce; absent when unknown.
    pub free_tokens: Option<u32>,
}

/// Properties of the request that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct WorkQuery<'a> {
    /// Availability zone of this router.
    pub zone: &'a ZoneName,
    /// Hash of the shared part of the prompt; absent when the request has none.
    pub affinity: Option<u64>,
    /// Tokens of the shared part of the prompt.
    pub shared_tokens: u32,
    /// Upstreams that this request was already sent to.
    pub tried: &'a [HostName],
    /// Expected time with no part of the prompt cached.
    pub estimate: WorkEstimate,
    /// Part of `estimate.head` that does not depend on the prompt.
    pub fixed_head: Duration,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of prompt and expected answer, which an upstream keeps in memory.
    pub memory_tokens: u32,
    /// Time until the caller gives up; absent when it waits without limit.
    pub time_left: Option<Duration>,
}

/// Upstream that a request is placed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkPlacement {
    /// Index of the candidate.
    pub index: usize,
    /// Expected time to completion.
    pub finish: Duration,
    /// Time to completion that nine of ten such requests do not exceed.
    pub finish_high: Duration,
}

/// Expected completion of a request on one candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletionTime {
    /// Expected time to completion.
    pub mean: Duration,
    /// Time to completion that nine of ten such requests do not exceed.
    pub high: Duration,
}

/// Reason why a request is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum WorkRefusal {
    /// No candidate may receive the request.
    #[error(transparent)]
    NoUpstream(#[from] NoUpstream),
    /// The upstreams are too busy to finish the request in time.
    #[error("no upstream finishes the request in time; return after {room_in:?}")]
    Busy {
        /// Earliest expected completion.
        earliest: Duration,
        /// Time after which an upstream is expected to finish such a request in time.
        room_in: Duration,
    },
    /// The request takes longer than its caller waits, even on an idle upstream.
    #[error("the request takes {earliest:?}, longer than its caller waits; allow more time")]
    TooLong {
        /// Earliest expected completion.
        earliest: Duration,
    },
}

impl WorkRefusal {
    /// Earliest expected completion; `None` if no candidate may get the request.
    pub fn earliest(&self) -> Option<Duration> {
        match self {
            Self::Busy { earliest, .. } | Self::TooLong { earliest } => Some(*earliest),
            Self::NoUpstream(_) => None,
        }
    }

    /// Time after which such a request is expected to be served; `None` if load is not the reason.
    pub fn room_in(&self) -> Option<Duration> {
        match self {
            Self::Busy { room_in, .. } => Some(*room_in),
            Self::NoUpstream(_) | Self::TooLong { .. } => None,
        }
    }
}

/// Selects upstreams by expected completion.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkChoice {
    /// Factor on the time of an upstream in another availability zone; at least 1.
    pub remote_zone_factor: f64,
    /// Number of upstreams that one affinity key maps to, in order of preference.
    pub affinity_homes: usize,
    /// Number of random candidates of which the best is taken; at least 1.
    pub samples: usize,
    /// Part of the time left that is kept as a margin for figures that are off.
    pub margin: f64,
    /// Increase of the time per event with a full batch, as a fraction.
    pub batch_growth: f64,
    /// Part of their time for which requests are in prompt processing, which delays others although slots are free.
    pub prompt_share: f64,
    /// Time that each running request loses while an upstream processes a prompt, as a multiple of that time. It is what a
    /// cached prompt saves the others.
    pub prompt_delay: f64,
    /// How contended the machines of the service usually are.
    pub contention: UsualContention,
}

impl Default for WorkChoice {
    fn default() -> Self {
        Self {
            remote_zone_factor: 1.05,
            affinity_homes: 2,
            // With old figures, the best of many is the one that all routers choose.
            samples: 2,
            margin: 0.1,
            batch_growth: 0.5,
            prompt_share: 0.05,
            prompt_delay: 1.0,
            contention: UsualContention::default(),
        }
    }
}

/// Expected completion on one candidate, in seconds.
#[derive(Debug, Clone, Copy)]
struct Completion {
    index: usize,
    mean_s: f64,
    high_s: f64,
    /// Completion that decides whether the request is refused.
    least_s: f64,
    /// Least completion if nothing else were on the upstream.
    idle_s: f64,
    /// Share of the batch that is in use with the request.
    occupancy: f64,
    has_slot: bool,
    has_memory: bool,
}

type Completions = SmallVec<[Completion; INLINE_CANDIDATES]>;

impl WorkChoice {
    /// Expected completion on each candidate against `time_left`; returns the index, or why no candidate can finish in time.
    ///
    /// Among the candidates that finish in time by the high estimate, the least occupied of a few random ones is taken, whatever
    /// its speed: so fast upstreams stay free for requests that need them.
    ///
    /// # Errors
    ///
    /// Fails when no candidate may get the request, or none can finish it in time.
    pub fn choose(
        &self,
        candidates: &[WorkCandidate<'_>],
        query: &WorkQuery<'_>,
        points: ChoicePoints,
    ) -> Result<WorkPlacement, WorkRefusal> {
        let views = candidates.iter().map(|candidate| &candidate.view);
        let eligible: EligibleList = eligible_upstreams(views, query.tried)?;
        let low_s = query.least_body_s();
        let completions = eligible
            .iter()
            .map(|index| self.completion(*index, &candidates[*index], query, low_s));
        let completions: Completions = completions.collect();
        let left_s = query.time_left.map_or(f64::MAX, |left| left.as_secs_f64());
        let safe_s = left_s * (1.0 - self.margin);
        let is_in_time =
            |completion: &Completion| completion.has_memory && completion.high_s <= safe_s;
        let in_time: Completions = completions.iter().copied().filter(is_in_time).collect();
        if !in_time.is_empty() {
            let best = self.best_of_few(&in_time, points);
            let home = self.affinity_home(candidates, query, &in_time, &best);
            return Ok(home.unwrap_or(best).placement());
        }
        let may_finish = completions.iter().copied();
        let may_finish = may_finish.filter(|completion| completion.least_s <= left_s);
        let may_finish: Completions = may_finish.collect();
        match one_of_the_earliest(&may_finish, points) {
            Some(completion) => Ok(completion.placement()),
            None => Err(refusal(&completions, left_s)),
        }
    }

    /// Expected completion on one candidate, as [`WorkChoice::choose`] compares it.
    pub fn completion_time(
        &self,
        candidate: &WorkCandidate<'_>,
        query: &WorkQuery<'_>,
    ) -> CompletionTime {
        let completion = self.completion(0, candidate, query, query.least_body_s());
        CompletionTime {
            mean: nearest_span(completion.mean_s),
            high: nearest_span(completion.high_s),
        }
    }

    /// Time per event at an upstream with `requests` in its batch of `slots`, as a multiple of that of an idle one.
    pub fn batch_factor(&self, requests: u32, slots: u32) -> f64 {
        1.0 + self.batch_growth * (f64::from(requests) / f64::from(slots.max(1))).min(1.0)
    }

    fn completion(
        &self,
        index: usize,
        candidate: &WorkCandidate<'_>,
        query: &WorkQuery<'_>,
        low_s: f64,
    ) -> Completion {
        let load = &candidate.view.load;
        let (requests, slots) = (load.corrected(), load.batch_limit());
        let head_s = query.head_s(candidate.cached_tokens);
        let body_s = query.estimate.body.as_secs_f64();
        let mut backlog_s = candidate.backlog.as_secs_f64();
        if backlog_s == 0.0 {
            // Without figures of their work, the requests count as half done and as long as this one.
            backlog_s = 0.5 * f64::from(requests) * (query.estimate.head.as_secs_f64() + body_s);
        }
        let run_left_s = backlog_s / f64::from(requests.max(1));
        // The number of requests in prompt processing, times what is left of it for each.
        let mut wait_s = self.prompt_share.powi(2) * backlog_s;
        if requests >= slots {
            wait_s += (load.waiting_ahead() + 1.0) * run_left_s / f64::from(slots);
        }
        let free_tokens = candidate.free_tokens.unwrap_or(u32::MAX);
        let missing = query.memory_tokens.saturating_sub(free_tokens);
        if missing > 0 {
            let needed = f64::from(query.memory_tokens);
            wait_s += run_left_s * f64::from(missing) / needed;
        }
        let slowness = candidate.slowness * self.batch_factor(requests.saturating_add(1), slots);
        let is_remote = candidate.view.zone != query.zone;
        let zone_factor = if is_remote {
            self.remote_zone_factor
        } else {
            1.0
        };
        let finish_s = |body_s: f64| {
            let work_s = (wait_s + head_s + body_s) * slowness;
            self.contention
                .contended_time_s(work_s, candidate.contention)
                * zone_factor
        };
        // A full upstream is given no request that misses its deadline by the mean, since it would delay others for nothing.
        // On a free one nothing is lost by trying, so that only a request is refused that would be late even with a short answer.
        let used = match missing {
            0 => (f64::from(requests) / f64::from(slots)).min(1.0),
            _ => 1.0,
        };
        let likely_s = low_s + (body_s - low_s) * used.powi(3) + (WAIT_FACTOR - 1.0) * wait_s;
        Completion {
            index,
            mean_s: finish_s(body_s),
            high_s: finish_s(query.estimate.body_high.as_secs_f64()),
            least_s: finish_s(likely_s),
            idle_s: (head_s + low_s) * candidate.slowness,
            occupancy: (f64::from(requests) + 1.0) / f64::from(slots) * zone_factor,
            has_slot: requests < slots,
            has_memory: missing == 0,
        }
    }

    /// The least occupied of a few random candidates, of those with a free slot if there are any.
    fn best_of_few(&self, in_time: &Completions, points: ChoicePoints) -> Completion {
        let free = in_time.iter().copied();
        let free: Completions = free.filter(|completion| completion.has_slot).collect();
        let list = if free.is_empty() { in_time } else { &free };
        let mut index = index_at(points.first, list.len());
        let mut best = list[index];
        let mut point = points.second;
        for _ in 1..self.samples.min(list.len()) {
            index = (index + 1 + index_at(point, list.len() - 1)) % list.len();
            if list[index].occupancy < best.occupancy {
                best = list[index];
            }
            point = (point + POINT_STEP).fract();
        }
        best
    }

    /// The first candidate that the shared part of the prompt maps to and whose completion is not later than that of `best` by
    /// more than it takes to process the shared part again there, including what that costs the requests beside it.
    fn affinity_home(
        &self,
        candidates: &[WorkCandidate<'_>],
        query: &WorkQuery<'_>,
        in_time: &Completions,
        best: &Completion,
    ) -> Option<Completion> {
        let key = query.affinity?;
        let other = &candidates[best.index];
        let cached = other.cached_tokens.max(query.shared_tokens);
        let saved_s = query.head_s(other.cached_tokens) - query.head_s(cached);
        let load = &other.view.load;
        let beside = f64::from(load.corrected().min(load.batch_limit()));
        let saved_s = saved_s * other.slowness * (1.0 + self.prompt_delay * beside);
        let weighted = in_time.iter().map(|completion| {
            let name = candidates[completion.index].view.name;
            (affinity_weight(name, key), completion)
        });
        let mut preferred: SmallVec<[(u64, &Completion); INLINE_CANDIDATES]> = weighted.collect();
        preferred.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let mut homes = preferred.into_iter().take(self.affinity_homes);
        let home = homes.find(|(_, home)| home.mean_s <= best.mean_s + saved_s);
        home.map(|(_, home)| *home)
    }
}

impl WorkQuery<'_> {
    /// Time from head to end that few runs fall below, in seconds; at most the mean.
    fn least_body_s(&self) -> f64 {
        let body_s = self.estimate.body.as_secs_f64();
        if body_s <= 0.0 {
            return 0.0;
        }
        let high_s = self.estimate.body_high.as_secs_f64();
        let low_s = LogNormal::of_mean_and_high(body_s, high_s).low();
        low_s.min(body_s)
    }

    /// Time to the head with `cached` tokens in memory, in seconds.
    fn head_s(&self, cached: u32) -> f64 {
        let fixed_s = self.fixed_head.min(self.estimate.head).as_secs_f64();
        let prompt_s = self.estimate.head.as_secs_f64() - fixed_s;
        let tokens = f64::from(self.prompt_tokens.max(1));
        let uncached = 1.0 - (f64::from(cached) / tokens).min(1.0);
        fixed_s + prompt_s * uncached
    }
}

impl Completion {
    fn placement(&self) -> WorkPlacement {
        WorkPlacement {
            index: self.index,
            finish: nearest_span(self.mean_s),
            finish_high: nearest_span(self.high_s),
        }
    }
}

/// A random one of the candidates with about the earliest completion. Routers with the same old figures would all choose the
/// earliest one.
fn one_of_the_earliest(may_finish: &Completions, points: ChoicePoints) -> Option<Completion> {
    let means = may_finish.iter().map(|completion| completion.mean_s);
    let earliest_s = means.fold(f64::MAX, f64::min);
    let is_near = |completion: &Completion| completion.mean_s <= NEAR_EARLIEST * earliest_s;
    let near: Completions = may_finish.iter().copied().filter(is_near).collect();
    (!near.is_empty()).then(|| near[index_at(points.first, near.len())])
}

fn refusal(completions: &Completions, left_s: f64) -> WorkRefusal {
    let means = completions.iter().map(|completion| completion.mean_s);
    let earliest = nearest_span(means.fold(f64::MAX, f64::min));
    let able = completions
        .iter()
        .filter(|completion| completion.idle_s <= left_s);
    // While the queue drains, the completion that decides falls faster than time passes, as it counts the wait with a factor.
    let rooms = able.map(|completion| (completion.least_s - left_s) / WAIT_FACTOR);
    match rooms.reduce(f64::min) {
        Some(room_s) => WorkRefusal::Busy {
            earliest,
            room_in: nearest_span(room_s),
        },
        None => WorkRefusal::TooLong { earliest },
    }
}

impl<'a> From<&WorkQuery<'a>> for ChoiceQuery<'a> {
    /// The query of the choice by request counts, for classes that are not known yet.
    fn from(query: &WorkQuery<'a>) -> Self {
        Self {
            zone: query.zone,
            affinity: query.affinity,
            tried: query.tried,
        }
    }
}
