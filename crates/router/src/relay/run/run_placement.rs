//! Where a request is sent: which service, and which of its upstreams.

use std::sync::Arc;

use ferry_decisions::choice::{
    ChoicePoints, ChoiceQuery, NoUpstream, UpstreamChoice, UpstreamState, UpstreamView,
};
use ferry_decisions::names::{HostName, ServiceName, ZoneName};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::relay::RelayCore;
use crate::relay::request::RelayRequest;
use crate::relay::upstreams::RelayUpstream;

/// Upstreams of a service that fit on the stack.
const USUAL_UPSTREAMS: usize = 32;

/// Uniform number in `0.0..1.0` that is the same for all requests of one conversation.
pub fn conversation_point(request: &RelayRequest) -> f64 {
    let hash = xxh3_64(request.affinity_text().as_bytes());
    (hash >> 11) as f64 / (1_u64 << 53) as f64
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
) -> Result<Arc<RelayUpstream>, NoUpstream> {
    let now = core.clock.now();
    let excluded = core.rollouts.excluded(service);
    let list = core.upstreams.of_service(service);
    let open: SmallVec<[&Arc<RelayUpstream>; USUAL_UPSTREAMS]> = list
        .iter()
        .filter(|upstream| excluded.as_ref() != Some(&upstream.record.version))
        .collect();
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
    let choice = UpstreamChoice::default();
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

/// Key by which requests that share a long part of their prompt meet at one upstream.
fn affinity(request: &RelayRequest, model: Option<&str>) -> Option<u64> {
    if !request.rule.affine {
        return None;
    }
    let part = request.facts.prompt.shared_part()?;
    let model = model.or(request.facts.model.as_deref()).unwrap_or_default();
    Some(part.id ^ xxh3_64(model.as_bytes()))
}
