//! A router is killed while all routers stream: the streams of the other routers complete, and callers of
//! the killed router send their requests again.

use std::time::Duration;

use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, ChatResult};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

use super::StepReport;
use crate::deployment::TrialRouter;
use crate::trial_run::TrialRun;

/// Streams at each router.
const STREAMS: usize = 2;
/// Completion tokens of each stream; the engines take about a second to generate them.
const TOKENS: u32 = 200;
/// Time limit for all streams to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of the engines' counters.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One stream of the step.
struct StreamPlan {
    router: usize,
    id: RequestId,
}

/// Results of the streams.
struct StreamResults {
    /// Number of streams that ran when the router was killed.
    running: usize,
    /// Results from the other routers.
    surviving: Vec<ChatResult>,
    /// Results from the killed router.
    killed: Vec<ChatResult>,
}

/// Starts streams on all routers, kills the last router, and sends its broken requests to another router.
pub async fn execute(run: &mut TrialRun) -> StepReport {
    let Some(killed_router) = run.deployment.routers.pop() else {
        return StepReport::failed("no router runs");
    };
    let name = killed_router.host.clone();
    let last = run.deployment.routers.len();
    let plans = plan_streams(last + 1);
    let (surviving, killed): (Vec<_>, Vec<_>) = plans.iter().partition(|plan| plan.router < last);
    let results = stream_and_kill(run, killed_router, &surviving, &killed).await;

    let mut report = StepReport::default();
    let (running, streams) = (results.running, plans.len());
    let finding = format!(
        "{running} streams ran over {} routers; {name} killed",
        last + 1
    );
    report.check(running == streams, finding);
    let (complete, streams) = (count_complete(&results.surviving), surviving.len());
    let finding = format!("{complete} of {streams} streams of the other routers completed");
    report.check(complete == streams, finding);
    let broken: Vec<_> = killed
        .iter()
        .zip(&results.killed)
        .filter(|(_, result)| is_broken(result))
        .collect();
    let (count, streams) = (broken.len(), killed.len());
    let finding = format!("{count} of {streams} streams of {name} broke off with an error");
    report.check(count + count_complete(&results.killed) == streams, finding);
    let again = broken.iter().map(|(plan, _)| run.send(0, &plan.id, call()));
    let complete = count_complete(&join_all(again).await);
    let finding = format!(
        "{complete} of them completed when sent again to {}",
        run.router(0)
    );
    report.check(complete == count, finding);
    report
}

async fn stream_and_kill(
    run: &TrialRun,
    killed_router: TrialRouter,
    surviving: &[&StreamPlan],
    killed: &[&StreamPlan],
) -> StreamResults {
    let address = killed_router.callers.to_string();
    let surviving_calls = join_all(
        surviving
            .iter()
            .map(|plan| run.send(plan.router, &plan.id, call())),
    );
    let killed_calls = join_all(
        killed
            .iter()
            .map(|plan| run.send_to(&address, &plan.id, call())),
    );
    let kill = async {
        let running = wait_until_running(run, &[surviving, killed].concat()).await;
        killed_router.kill();
        running
    };
    let (surviving, killed, running) = futures::join!(surviving_calls, killed_calls, kill);
    StreamResults {
        running,
        surviving,
        killed,
    }
}

fn plan_streams(routers: usize) -> Vec<StreamPlan> {
    let plan = |index| StreamPlan {
        router: index % routers,
        id: RequestId::generate(),
    };
    (0..routers * STREAMS).map(plan).collect()
}

fn call() -> ChatCall {
    ChatCall::new("assistant", "Summarise the hearing").tokens(TOKENS)
}

fn is_complete(result: &ChatResult) -> bool {
    matches!(result, ChatResult::Answered(answer) if answer.completion_tokens == u64::from(TOKENS))
}

fn is_broken(result: &ChatResult) -> bool {
    matches!(result, ChatResult::Broken(_))
}

fn count_complete(results: &[ChatResult]) -> usize {
    results.iter().filter(|result| is_complete(result)).count()
}

/// Waits until engines have started all of `plans`, or the time limit has passed; returns how many they
/// have started.
async fn wait_until_running(run: &TrialRun, plans: &[&StreamPlan]) -> usize {
    let limit = Instant::now() + START_TIMEOUT;
    loop {
        let running = plans
            .iter()
            .filter(|plan| is_started(run, &plan.id))
            .count();
        if running == plans.len() || Instant::now() >= limit {
            return running;
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn is_started(run: &TrialRun, id: &RequestId) -> bool {
    let mut engines = run.deployment.engines.iter();
    engines.any(|engine| engine.counters().of(id).started > 0)
}
