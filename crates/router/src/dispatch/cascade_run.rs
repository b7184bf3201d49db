//! Runs a cascade: cheaper stages first; an answer is delivered only if its rating is high enough.

use std::sync::Arc;
use std::time::Duration;

use ferry_decisions::names::{CascadeName, VersionName};
use ferry_decisions::retry::RunState;

use super::chat_run::ChatRun;
use super::engine_call::EngineReply;
use super::stage_run::StageAnswer;
use crate::caller::CallerRefusal;
use crate::guard;
use crate::trace::{AttemptRecord, AttemptResult};

/// Longest time to wait for a rating.
const RATING_TIMEOUT: Duration = Duration::from_secs(2);
/// Quality target when the cascade is no longer in the configuration.
const DEFAULT_QUALITY_TARGET: f64 = 0.5;

/// Runs the stages in order until an answer is accepted; the answer of stage `last` always is.
///
/// # Errors
///
/// Returns the refusal of the last stage, with a run state that covers all stages.
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

/// Returns the answer if its rating reaches the target, else `None`; its tokens are billed either way.
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
    let (reply, text) = collect_reply(run, reply).await?;
    if let Some(usage) = reply_usage(&reply) {
        run.bill.add(&run.core, &version, usage);
    }
    let score = rate(run, &version, text).await;
    if let Some(served) = served {
        guard::record_rating(&run.core, served, score);
    }
    let accepted = score.is_some_and(|score| score >= quality_target(run));
    run.trace.attempts.push(AttemptRecord {
        stage,
        version: version.clone(),
        upstream: run.core.settings.host.clone(),
        result: AttemptResult::Rated { score, accepted },
    });
    run.is_stage_billed = accepted;
    accepted.then_some(StageAnswer {
        version,
        reply,
        served: None,
    })
}

/// Reads the reply to its end and returns it with its text; `None` if its stream fails.
async fn collect_reply(run: &mut ChatRun, reply: EngineReply) -> Option<(EngineReply, String)> {
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
                    run.crash_tracker.confirm_crash(&host, &failure).await;
                    return None;
                }
            };
            run.crash_tracker.record_survival();
            let text = std::mem::take(&mut collected.text);
            Some((EngineReply::Collected(collected), text))
        }
        EngineReply::Collected(collected) => {
            Some((EngineReply::Collected(collected), String::new()))
        }
    }
}

fn reply_usage(reply: &EngineReply) -> Option<ferry_platform::engine::TokenUsage> {
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

fn quality_target(run: &ChatRun) -> f64 {
    let view = run.core.config.view();
    let name = CascadeName::new(&run.chat.model);
    view.cascades
        .get(&name)
        .map_or(DEFAULT_QUALITY_TARGET, |cascade| cascade.quality_target)
}
