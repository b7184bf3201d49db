//! Run of a cascade: cheaper stages first, each answer rated before it is kept.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::{CascadeName, VersionName};
use ferry_decisions::retry::RunState;

use super::chat_run::ChatRun;
use super::engine_call::EngineReply;
use super::stage_run::StageAnswer;
use crate::caller::CallerRefusal;
use crate::guard;
use crate::trail::{AttemptNote, AttemptResult};

/// Longest wait for a rating.
const RATING_TIMEOUT: Duration = Duration::from_secs(2);
/// Score that keeps an answer when the cascade is gone from the configuration.
const DEFAULT_TARGET: f64 = 0.5;

/// Runs the stages in order until an answer is kept; the answer of stage `last` always is.
///
/// # Errors
///
/// The refusal of the last stage, whose run state covers all stages.
pub async fn execute(run: &mut ChatRun, last: usize) -> Result<StageAnswer, CallerRefusal> {
    let mut state = RunState::NotRun;
    for stage in 0..last {
        match run.run_stage(stage, true).await {
            Ok(answer) => {
                state = RunState::Ran;
                if let Some(kept) = keep_or_escalate(run, stage, answer).await {
                    return Ok(kept);
                }
            }
            Err(refusal) => state = state.max(refusal.run),
        }
    }
    let answer = run.run_stage(last, false).await;
    answer.map_err(|refusal| {
        let state = state.max(refusal.run);
        refusal.with_run(state)
    })
}

/// The answer if its rating reaches the target; its price is due either way.
async fn keep_or_escalate(
    run: &mut ChatRun,
    stage: usize,
    answer: StageAnswer,
) -> Option<StageAnswer> {
    let StageAnswer {
        version,
        reply,
        served,
    } = answer;
    let (reply, text) = whole(run, reply).await?;
    if let Some(usage) = usage_of(&reply) {
        run.bill.add(&run.core, &version, usage);
    }
    let score = rate(run, &version, text).await;
    if let Some(served) = served {
        guard::record_rating(&run.core, served, score);
    }
    let accepted = score.is_some_and(|score| score >= target(run));
    run.trail.attempts.push(AttemptNote {
        stage,
        version: version.clone(),
        upstream: run.core.settings.host.clone(),
        result: AttemptResult::Rated { score, accepted },
    });
    run.billed_stage = accepted;
    accepted.then_some(StageAnswer {
        version,
        reply,
        served: None,
    })
}

async fn whole(run: &mut ChatRun, reply: EngineReply) -> Option<(EngineReply, String)> {
    match reply {
        EngineReply::Whole(whole) => {
            let text = whole.text.clone();
            Some((EngineReply::Whole(whole), text))
        }
        EngineReply::Stream(stream) => {
            let limit = run.core.settings.limits.answer_bytes;
            let host = Arc::clone(stream.host());
            let mut collected = match stream.collect(run.request.deadline, limit).await {
                Ok(collected) => collected,
                Err(failure) => {
                    run.turn.confirm_crash(&host, &failure).await;
                    return None;
                }
            };
            run.turn.record_survival();
            let text = std::mem::take(&mut collected.text);
            Some((EngineReply::Collected(collected), text))
        }
        EngineReply::Collected(collected) => {
            Some((EngineReply::Collected(collected), String::new()))
        }
    }
}

fn usage_of(reply: &EngineReply) -> Option<ferry_platform::engine::TokenUsage> {
    match reply {
        EngineReply::Whole(whole) => Some(whole.usage),
        EngineReply::Collected(collected) => Some(collected.usage),
        EngineReply::Stream(_) => None,
    }
}

async fn rate(run: &ChatRun, version: &VersionName, answer: String) -> Option<f64> {
    let request = run.rating_request(version, answer);
    let timeout = RATING_TIMEOUT.min(run.request.time_left());
    let rating = run.core.ratings.rate(&request, timeout).await.ok()?;
    Some(rating.score)
}

fn target(run: &ChatRun) -> f64 {
    let view = run.core.config.view();
    let name = CascadeName::new(&run.chat.model);
    view.cascades
        .get(&name)
        .map_or(DEFAULT_TARGET, |cascade| cascade.quality_target)
}
