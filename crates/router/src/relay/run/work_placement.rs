//! Choice of the upstream by expected completion, where the work of a request's class is known.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::choice::{ChoicePoints, UpstreamLoad, UpstreamState, UpstreamView};
use ferry_decisions::names::{HostName, ServiceName, ZoneName};
use ferry_decisions::time::MonotonicTime;
use ferry_decisions::workload::{
    RequestSize, WorkCandidate, WorkChoice, WorkEstimate, WorkPlacement, WorkQuery, WorkRefusal,
    work_class,
};
use smallvec::SmallVec;

use super::run_placement::INLINE_UPSTREAMS;
use crate::relay::RelayCore;
use crate::relay::request::RelayRequest;
use crate::relay::status::CandidateReport;
use crate::relay::upstreams::RelayUpstream;
use crate::relay::workload::LoadManager;

/// Expected work of a request on one model.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedWork {
    estimate: WorkEstimate,
    fixed_head: Duration,
}

/// How strictly a completion must be expected in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeCheck {
    /// The request has no other answer: it is sent as long as it may be answered in time.
    Tolerant,
    /// It is sent whatever is expected, to learn whether its class still takes as long.
    Trial,
    /// It has the answer of a smaller model, which is kept if the mean of such requests would be late.
    Strict,
}

/// A rejection for lack of time, with the figures behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{refusal}")]
pub struct LateChoice {
    /// Why no candidate is expected to answer in time.
    pub refusal: WorkRefusal,
    /// Number of upstreams that were compared.
    pub candidates: usize,
    /// Age of the oldest figure of other routers about these upstreams; absent if there is none.
    pub oldest_figure: Option<Duration>,
}

impl LateChoice {
    /// The rejection `refusal` by those of `upstreams`, which have the states `views`, that were not tried before. The figures are read again,
    /// which only rejections pay for.
    pub fn new(
        refusal: WorkRefusal,
        core: &RelayCore,
        upstreams: &[&Arc<RelayUpstream>],
        views: &[UpstreamView<'_>],
        tried: &[HostName],
        now: MonotonicTime,
    ) -> Self {
        let candidates = upstreams
            .iter()
            .zip(views)
            .filter(|(_, view)| view.state == UpstreamState::Live && !tried.contains(view.name));
        let ages = candidates.clone().filter_map(|(upstream, _)| {
            let pooled = core.load.view(&upstream.record.incarnation, now);
            let load_age = pooled
                .load
                .map(|load| Duration::from_millis(load.age_ms.into()));
            pooled.age.max(load_age)
        });
        Self {
            refusal,
            oldest_figure: ages.max(),
            candidates: candidates.count(),
        }
    }
}

/// What the choice needs besides the upstreams.
#[derive(Debug, Clone, Copy)]
pub struct WorkRequest<'a> {
    /// The request.
    pub request: &'a RelayRequest,
    /// Its expected work.
    pub work: ExpectedWork,
    /// Availability zone of this router.
    pub zone: &'a ZoneName,
    /// Affinity key of the request.
    pub affinity: Option<u64>,
    /// Upstreams that the request was already sent to.
    pub tried: &'a [HostName],
    /// Time left for the answer.
    pub time_left: Duration,
    /// How strictly it must suffice.
    pub check: TimeCheck,
}

/// Size of `request` as its headers state it.
pub fn request_size(request: &RelayRequest) -> RequestSize {
    let prompt = &request.facts.prompt;
    RequestSize {
        prompt_tokens: prompt.prompt_tokens,
        answer_limit: prompt.answer_tokens,
        hint: request.facts.length_hint,
    }
}

/// Expected work of `request` on `model`; `None` until its class is known.
pub fn expected_work(
    core: &RelayCore,
    request: &RelayRequest,
    service: &ServiceName,
    model: Option<&str>,
) -> Option<ExpectedWork> {
    if !core.load.is_sharing() {
        return None;
    }
    let class = work_class(request.rule.name.as_str(), model?);
    core.load.with_model(service, |known| {
        Some(ExpectedWork {
            estimate: known.estimate(&class, &request_size(request))?,
            fixed_head: known.fixed_head(&class)?,
        })
    })
}

/// Chooses one of `upstreams`, which have the states `views`, by expected completion; returns its index.
///
/// # Errors
///
/// Fails when no upstream may be used, or none is expected to answer in time.
pub fn choose_by_work(
    core: &RelayCore,
    upstreams: &[&Arc<RelayUpstream>],
    views: &[UpstreamView<'_>],
    query: &WorkRequest<'_>,
    points: ChoicePoints,
    now: MonotonicTime,
) -> Result<WorkPlacement, WorkRefusal> {
    let candidates = upstreams.iter().zip(views);
    let service = upstreams.first().map(|upstream| &upstream.record.service);
    let choice = service.map_or_else(WorkChoice::default, |service| work_choice(core, service));
    let candidates: SmallVec<[WorkCandidate<'_>; INLINE_UPSTREAMS]> = candidates
        .map(|(upstream, view)| candidate(core, upstream, *view, &choice, now))
        .collect();
    let placement = choice.choose(&candidates, &query.work_query(), points)?;
    let is_late = placement.finish > query.time_left;
    if query.check == TimeCheck::Strict && is_late {
        return Err(WorkRefusal::TooLong {
            earliest: placement.finish,
        });
    }
    Ok(placement)
}

/// Figures of `upstream`, which has the state `view`, for a request with the expected work `query`.
pub fn candidate_report(
    core: &RelayCore,
    upstream: &RelayUpstream,
    view: UpstreamView<'_>,
    query: Option<&WorkRequest<'_>>,
    now: MonotonicTime,
) -> CandidateReport {
    let millis = |span: Duration| span.as_millis() as u64;
    let pooled = core.load.view(&upstream.record.incarnation, now);
    let choice = work_choice(core, &upstream.record.service);
    let candidate = candidate(core, upstream, view, &choice, now);
    let completion = query.map(|query| choice.completion_time(&candidate, &query.work_query()));
    let reported = upstream.reported_load();
    CandidateReport {
        upstream: upstream.id().to_owned(),
        zone: upstream.record.zone.to_string(),
        version: upstream.record.version.to_string(),
        excluded: Vec::new(),
        needs_permit: false,
        is_cold: false,
        expected_ms: completion.map(|time| millis(time.mean)),
        expected_high_ms: completion.map(|time| millis(time.high)),
        own_requests: upstream.in_flight(),
        own_work_ms: millis(upstream.own_work(now)),
        others_requests: pooled.requests,
        others_work_ms: millis(pooled.work),
        others_age_ms: pooled.age.map(millis),
        slowness: candidate.slowness,
        contention: candidate.contention,
        contention_age_ms: pooled
            .load
            .filter(|load| load.contention.is_some())
            .map(|load| load.age_ms.into()),
        load_age_ms: reported.map(|(_, at)| millis(now.since(at))),
    }
}

/// The choice among upstreams of `service`, by what is known of the contention on their machines.
fn work_choice(core: &RelayCore, service: &ServiceName) -> WorkChoice {
    WorkChoice {
        contention: core.load.usual_contention(service),
        ..WorkChoice::default()
    }
}

fn candidate<'a>(
    core: &RelayCore,
    upstream: &RelayUpstream,
    view: UpstreamView<'a>,
    choice: &WorkChoice,
    now: MonotonicTime,
) -> WorkCandidate<'a> {
    let pooled = core.load.view(&upstream.record.incarnation, now);
    let slowness = core.load.slowness(upstream, now);
    let load = UpstreamLoad {
        own_in_flight: upstream.in_flight(),
        own_at_report: 0,
        peers_in_flight: pooled.requests,
        report: view
            .load
            .report
            .map(|report| ferry_decisions::choice::ReportedLoad {
                running: 0,
                queued: 0,
                ..report
            }),
        ..view.load
    };
    let backlog = upstream.own_work(now) + pooled.work;
    WorkCandidate {
        view: UpstreamView { load, ..view },
        backlog,
        slowness,
        contention: LoadManager::expected_contention(&choice.contention, pooled.load),
        cached_tokens: 0,
        free_tokens: None,
    }
}

impl<'a> WorkRequest<'a> {
    fn work_query(self) -> WorkQuery<'a> {
        let prompt = &self.request.facts.prompt;
        let shared = prompt.parts.len().saturating_sub(1);
        let shared_tokens = prompt.parts.iter().take(shared).map(|part| part.tokens);
        WorkQuery {
            zone: self.zone,
            affinity: self.affinity,
            shared_tokens: shared_tokens.fold(0, u32::saturating_add),
            tried: self.tried,
            estimate: self.work.estimate,
            fixed_head: self.work.fixed_head,
            prompt_tokens: prompt.prompt_tokens,
            memory_tokens: prompt.prompt_tokens,
            time_left: Some(self.time_left),
        }
    }
}

/// `views` with the suspect upstreams counted as live ones.
pub fn with_suspects<'a>(
    views: &[UpstreamView<'a>],
) -> SmallVec<[UpstreamView<'a>; INLINE_UPSTREAMS]> {
    let views = views.iter().map(|view| UpstreamView {
        state: match view.state {
            UpstreamState::Suspect => UpstreamState::Live,
            state => state,
        },
        ..*view
    });
    views.collect()
}
