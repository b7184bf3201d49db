//! Tasks that probe lost paths, and look for routers that reach the upstreams behind them.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::HostName;
use ferry_decisions::paths::ProbeBudget;
use ferry_decisions::registry::UpstreamIncarnation;
use ferry_decisions::time::MonotonicTime;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use rand::seq::IndexedRandom;
use smallvec::SmallVec;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::open_link::probe;
use super::path_message::{ReachProof, ReachQuery};
use super::path_query::{MAX_ASKED, ask_reached};
use crate::peer::PeerError;
use crate::relay::relay_core::SharedCore;
use crate::relay::upstreams::RelayUpstream;

/// Number of routers of the own availability zone, and of other ones, that are asked in one search.
const ASKED_PER_SIDE: usize = 2;
/// Shortest time between two searches without success.
const MIN_SEARCH_PERIOD: Duration = Duration::from_millis(250);
/// Longest time between two searches without success.
const MAX_SEARCH_PERIOD: Duration = Duration::from_secs(1);
/// Number of paths, lost while other routers reach their upstreams, from which the other paths are in doubt.
const DOUBT_PATHS: usize = 2;
/// Time without data from an upstream after which its path is probed when it is in doubt.
const UNHEARD_TIME: Duration = Duration::from_secs(1);
/// Time for which further answers are waited for once each upstream has a detour, so that several routers share the requests.
const SPREAD_WAIT: Duration = Duration::from_millis(50);
/// Number of paths that are probed at once.
const CONCURRENT_PROBES: usize = 32;

/// Upstreams that lack a detour, and the routers found for each.
struct DetourSearch {
    upstreams: Vec<Arc<RelayUpstream>>,
    found: Vec<SmallVec<[HostName; 4]>>,
}

/// Looks for routers that reach the upstreams whose path is lost, until the relay closes.
pub async fn find_detours(core: SharedCore) {
    let mut first = 0;
    let mut period = None;
    loop {
        core.paths.wait_for_loss(period).await;
        let lacking = lacking_upstreams(&core);
        if lacking.is_empty() {
            period = None;
            continue;
        }
        let routers = asked_routers(&core, first);
        let found_all = search(&core, lacking, &routers).await;
        if found_all {
            period = None;
        } else {
            first += ASKED_PER_SIDE;
            let longer = period.map_or(MIN_SEARCH_PERIOD, |period| period * 2);
            period = Some(longer.min(MAX_SEARCH_PERIOD));
        }
        doubt_paths(&core);
    }
}

/// Probes lost paths when they are due and the budget allows, until the relay closes. Once one works again, all others are probed.
pub async fn probe_paths(core: SharedCore) {
    let mut budget = ProbeBudget::new(core.clock.now());
    loop {
        let now = core.clock.now();
        let mut due = lost_paths(&core);
        let next = due.first().and_then(|upstream| upstream.next_probe());
        due.retain(|upstream| upstream.next_probe().is_some_and(|at| at <= now));
        let taken = budget.take(due.len(), now);
        due.truncate(taken);
        if due.is_empty() {
            let wait = next.map(|at| at.since(now).max(budget.wait(now)));
            core.paths.wait_for_probes(wait).await;
            continue;
        }
        if probe_all(&core, &due).await {
            probe_all(&core, &lost_paths(&core)).await;
        }
    }
}

/// Upstreams whose path is lost, the one to be probed next first.
fn lost_paths(core: &SharedCore) -> Vec<Arc<RelayUpstream>> {
    let mut lost = core
        .upstreams
        .all_where(|upstream| !upstream.is_leaving() && upstream.is_path_lost());
    lost.sort_by_cached_key(|upstream| upstream.next_probe());
    lost
}

/// Probes the paths to `upstreams`; returns whether one works.
async fn probe_all(core: &SharedCore, upstreams: &[Arc<RelayUpstream>]) -> bool {
    let mut works = false;
    for upstreams in upstreams.chunks(CONCURRENT_PROBES) {
        upstreams
            .iter()
            .for_each(|upstream| upstream.close_unusable());
        let probes = upstreams.iter().map(|upstream| probe(core, upstream));
        works |= join_all(probes).await.contains(&true);
    }
    works
}

fn lacking_upstreams(core: &SharedCore) -> Vec<Arc<RelayUpstream>> {
    let mut lacking = core
        .upstreams
        .all_where(|upstream| !upstream.is_leaving() && upstream.lacks_detour());
    lacking.truncate(MAX_ASKED);
    lacking
}

/// Routers to ask next: some of the own availability zone and some of others, from the place `first` on in an order that differs between
/// routers.
pub fn asked_routers(core: &SharedCore, first: usize) -> Vec<HostName> {
    let settings = core.settings.load();
    let mut routers = core.fleet.others(&settings.host);
    let order = |host: &HostName| {
        let pair = format!("{} {host}", settings.host);
        (core.paths.has_failed(host), xxh3_64(pair.as_bytes()))
    };
    routers.sort_by_cached_key(|entry| order(&entry.host));
    let (near, far): (Vec<_>, Vec<_>) = routers
        .into_iter()
        .partition(|entry| entry.zone == settings.zone);
    let turn = |side: Vec<_>| {
        let count = side.len();
        let side = side.into_iter().cycle().skip(first % count.max(1));
        side.take(ASKED_PER_SIDE.min(count))
    };
    let asked = turn(near).chain(turn(far));
    asked.map(|entry| entry.host).collect()
}

/// Asks `routers` which of the upstreams they reach, and sets detours as the answers arrive; returns whether all have one.
async fn search(
    core: &SharedCore,
    upstreams: Vec<Arc<RelayUpstream>>,
    routers: &[HostName],
) -> bool {
    let incarnations = upstreams
        .iter()
        .map(|upstream| &upstream.record.incarnation);
    let incarnations: Vec<UpstreamIncarnation> = incarnations.cloned().collect();
    let asking = routers.iter().map(async |router| {
        let query = ReachQuery {
            upstreams: incarnations.clone(),
            proof: ReachProof::Recent,
        };
        let answer = ask_reached(core, router, query).await;
        (router, answer)
    });
    let mut answers: FuturesUnordered<_> = asking.collect();
    let mut search = DetourSearch {
        found: vec![SmallVec::new(); upstreams.len()],
        upstreams,
    };
    while !search.is_complete() {
        let Some((router, answer)) = answers.next().await else {
            break;
        };
        search.add(router, answer);
    }
    core.paths.finish_search();
    // The end of the wait leaves the detours that are set.
    let _ = timeout(SPREAD_WAIT, async {
        while let Some((router, answer)) = answers.next().await {
            search.add(router, answer);
        }
    })
    .await;
    search.log();
    search.is_complete()
}

impl DetourSearch {
    /// Adds the answer of `router`, and shares the upstreams out among the routers found so far.
    fn add(&mut self, router: &HostName, answer: Result<Vec<bool>, PeerError>) {
        let reached = match answer {
            Ok(reached) => reached,
            Err(error) => {
                spdlog::info!("no answer about paths: {}", error, kv: { router = router.as_str() });
                return;
            }
        };
        let found = self.found.iter_mut().zip(reached);
        for (found, _) in found.filter(|(_, reached)| *reached) {
            found.push(router.clone());
        }
        self.set_detours();
    }

    /// Gives each upstream one of the routers found for it.
    fn set_detours(&self) {
        for (upstream, found) in self.upstreams.iter().zip(&self.found) {
            let Some(router) = found.choose(&mut rand::rng()) else {
                continue;
            };
            upstream.set_detour(router);
        }
    }

    fn is_complete(&self) -> bool {
        self.found.iter().all(|found| !found.is_empty())
    }

    fn log(&self) {
        let found = self.found.iter().filter(|found| !found.is_empty());
        spdlog::info!("searched routers that reach upstreams", kv: {
            wanted = self.upstreams.len(),
            found = found.count(),
        });
    }
}

/// Probes the paths over which nothing was heard for a while if several paths are lost whose upstreams other routers reach, and more
/// than before.
fn doubt_paths(core: &SharedCore) {
    let now = core.clock.now();
    let detoured = core
        .upstreams
        .all_where(|upstream| upstream.detour().is_some());
    let is_growing = core.paths.record_detours(detoured.len());
    if detoured.len() < DOUBT_PATHS || !is_growing {
        return;
    }
    let unheard = core
        .upstreams
        .all_where(|upstream| is_in_doubt(upstream, now));
    if unheard.is_empty() {
        return;
    }
    spdlog::info!("paths in doubt", kv: { lost = detoured.len(), probed = unheard.len() });
    let core_of_task = core.clone();
    core.spawn(async move {
        for unheard in unheard.chunks(CONCURRENT_PROBES) {
            let probes = unheard.iter().map(async |upstream| {
                if !probe(&core_of_task, upstream).await {
                    upstream.want_path();
                }
            });
            join_all(probes).await;
            core_of_task.paths.report_loss();
        }
    });
}

fn is_in_doubt(upstream: &RelayUpstream, now: MonotonicTime) -> bool {
    !upstream.is_leaving() && upstream.is_path_unconfirmed(UNHEARD_TIME, now)
}
