//! Dispatches of one stage: checks, choice of an upstream, retries elsewhere.

use std::sync::Arc;

use ferry_decisions::names::{HostName, VersionName};
use ferry_platform::engine::ChatRequest;
use xxhash_rust::xxh3::xxh3_64;

use super::attempt_log::AttemptLog;
use super::engine_call::{self, EngineReply};
use super::{DispatchFailure, gate};
use crate::caller::{CallerRefusal, CallerRequest, SessionAsk};
use crate::core::RouterCore;
use crate::guard::{self, ServedRequest};
use crate::trail::{AttemptNote, AttemptResult, DecisionTrail};
use crate::upstream::{FlightGuard, PlacementQuery, place};

/// Bytes of a prompt's start that requests with a common prefix share.
const PREFIX_BYTES: usize = 1_024;

/// What a stage needs of its run.
pub struct StageRun<'a> {
    /// State of the router.
    pub core: &'a RouterCore,
    /// The request.
    pub request: &'a CallerRequest,
    /// Its body.
    pub chat: &'a ChatRequest,
    /// Position of the stage in the route.
    pub stage: usize,
    /// Whether the text of the answer is needed.
    pub keep_text: bool,
    /// Decisions so far.
    pub trail: &'a mut DecisionTrail,
}

/// Answer of a stage.
pub struct StageAnswer {
    /// Version that answered.
    pub version: VersionName,
    /// Its answer.
    pub reply: EngineReply,
    /// The request as counted by the guard; `None` outside of roll-outs.
    pub served: Option<ServedRequest>,
}

impl StageRun<'_> {
    /// Dispatches until an upstream answers or no further try is allowed.
    ///
    /// # Errors
    ///
    /// A refusal whose run state covers all dispatches of the stage.
    pub async fn execute(mut self) -> Result<StageAnswer, CallerRefusal> {
        let mut log = AttemptLog::default();
        loop {
            let target = self.next_target(log.tried());
            let (version, guard, served) = target.map_err(|refusal| log.refuse(refusal))?;
            let host = Arc::clone(guard.host());
            match self.dispatch(guard, &version, served.is_some()).await {
                Ok(reply) => {
                    self.note(&version, &host.entry.name, AttemptResult::Answered);
                    return Ok(StageAnswer {
                        version,
                        reply,
                        served,
                    });
                }
                Err(failure) => {
                    let reason = failure.to_string();
                    self.note(&version, &host.entry.name, AttemptResult::Failed { reason });
                    log.fail(self.core, self.request, &host, failure)?;
                }
            }
        }
    }

    /// Version and upstream of the next dispatch under the newest configuration.
    fn next_target(
        &mut self,
        tried: &[HostName],
    ) -> Result<(VersionName, FlightGuard, Option<ServedRequest>), CallerRefusal> {
        gate::check_dispatch(self.core, self.request)?;
        let view = self.core.config.view();
        let plan = gate::plan(&view, self.request, &self.chat.model)?;
        self.trail.config_offset = view.next_offset;
        let stage = &plan.stages[self.stage.min(plan.stages.len() - 1)];
        let mut excluded = plan.excluded.clone();
        let pick = guard::pick(self.core, &view, self.request, stage, &mut excluded);
        self.trail.exclude(&excluded);
        let pick = pick?;
        let version = pick.version;
        let query = PlacementQuery {
            request: self.request,
            version: &version,
            most_steps: self.chat.max_tokens,
            affinity: self.affinity(),
            tried,
        };
        let guard = place(self.core, &query)?;
        Ok((version, guard, pick.served))
    }

    /// Hash of the session, or else of the start of a prompt that is long enough to be worth it.
    fn affinity(&self) -> Option<u64> {
        if let SessionAsk::Continue(token) = &self.request.session {
            return Some(xxh3_64(token.id.as_bytes()));
        }
        let first = self.chat.messages.first()?.content.as_str()?;
        let prefix = first.as_bytes().get(..PREFIX_BYTES)?;
        Some(xxh3_64(prefix))
    }

    async fn dispatch(
        &self,
        guard: FlightGuard,
        version: &VersionName,
        is_rated: bool,
    ) -> Result<EngineReply, DispatchFailure> {
        engine_call::call(
            self.core,
            guard,
            self.request,
            self.chat,
            version,
            self.keep_text || is_rated,
        )
        .await
    }

    fn note(&mut self, version: &VersionName, upstream: &HostName, result: AttemptResult) {
        self.trail.attempts.push(AttemptNote {
            stage: self.stage,
            version: version.clone(),
            upstream: upstream.clone(),
            result,
        });
    }
}
