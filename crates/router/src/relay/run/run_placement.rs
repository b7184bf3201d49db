//! Where a request is sent: which service, and which of its upstreams.

use std::sync::Arc;

use ferry_decisions::choice::{
    ChoiceConfig, ChoicePoints, ChoiceQuery, NoUpstream, UpstreamChoice, UpstreamState,
    UpstreamView,
};
use ferry_decisions::hash_point;
use ferry_decisions::names::{HostName, ServiceName, ZoneName};
use ferry_decisions::rollout::VersionSide;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::relay::RelayCore;
use crate::relay::request::RelayRequest;
use crate::relay::rollouts::VersionPick;
use crate::relay::upstreams::RelayUpstream;

/// Upstreams of a service that fit on the stack.
const USUAL_UPSTREAMS: usize = 32;

/// Choice for prompts whose parts are long, so that reading them again costs more than a short wait.
const AFFINE_CHOICE: ChoiceConfig = ChoiceConfig {
    remote_zone_factor: 1.05,
    affinity_bound: 1.25,
    affinity_slack: 6.0,
    affinity_homes: 2,
};

/// Upstreams that a request may use.
type OpenUpstreams<'a> = SmallVec<[&'a Arc<RelayUpstream>; USUAL_UPSTREAMS]>;

/// Uniform number in `0.0..1.0` that is the same for all requests of one conversation.
pub fn conversation_point(request: &RelayRequest) -> f64 {
    hash_point(xxh3_64(request.affinity_text().as_bytes()))
}

/// The upstream of `service` that gets `request` next.
///
/// Suspects are used only when no other upstream is left.
///
/// # Errors
///
/// Fails when no upstream may get it.
pub fn choose_upstream(
    core: &RelayCore,
    request: &RelayRequest,
    service: &ServiceName,
    model: Option<&str>,
    tried: &[HostName],
    pick: Option<&VersionPick>,
) -> Result<Arc<RelayUpstream>, NoUpstream> {
    let now = core.clock.now();
    let list = core.upstreams.of_service(service);
    let open = allowed_versions(&list, pick);
    let mut views: SmallVec<[UpstreamView<'_>; USUAL_UPSTREAMS]> =
        open.iter().map(|upstream| upstream.view(now)).collect();
    let zone: ZoneName = core.settings.load().zone.clone();
    let query = ChoiceQuery {
        zone: &zone,
        affinity: affinity(request, model),
        tried,
    };
    let points = ChoicePoints {
        first: rand::random(),
        second: rand::random(),
        turn: 0,
    };
    let choice = UpstreamChoice {
        config: AFFINE_CHOICE,
        ..UpstreamChoice::default()
    };
    let index = choice.choose(&views, &query, points).or_else(|_| {
        for view in &mut views {
            if view.state == UpstreamState::Suspect {
                view.state = UpstreamState::Live;
            }
        }
        choice.choose(&views, &query, points)
    })?;
    Ok(Arc::clone(open[index]))
}

/// The upstreams that `pick` allows; all of them when none of those is in service.
fn allowed_versions<'a>(
    list: &'a [Arc<RelayUpstream>],
    pick: Option<&VersionPick>,
) -> OpenUpstreams<'a> {
    let Some(pick) = pick else {
        return list.iter().collect();
    };
    let allows = |upstream: &RelayUpstream| {
        let is_target = upstream.record.version == pick.target;
        is_target == (pick.side == VersionSide::Target)
    };
    let allowed: OpenUpstreams<'a> = list.iter().filter(|upstream| allows(upstream)).collect();
    if allowed.iter().all(|upstream| upstream.is_leaving()) {
        return list.iter().collect();
    }
    allowed
}

/// Key by which requests that share a long part of their prompt meet at one upstream.
fn affinity(request: &RelayRequest, model: Option<&str>) -> Option<u64> {
    if !request.rule.affine {
        return None;
    }
    let part = request.facts.prompt.shared_part()?;
    let model = model.or(request.facts.model.as_deref()).unwrap_or_default();
    Some(part.id ^ xxh3_64(model.as_bytes()))
}
