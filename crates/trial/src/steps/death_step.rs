//! A router dies while all routers stream: the others finish, and its callers send again.

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
/// Tokens of each stream; they take a second at the engines' pace.
const TOKENS: u32 = 200;
/// Time allowed until all streams run.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Pause between two looks at the engines' counters.
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// One stream of the step.
struct StreamPlan {
    router: usize,
    id: RequestId,
}

/// What came of the streams.
struct StreamResults {
    /// Streams that ran when the router was killed.
    running: usize,
    /// Results at the other routers.
    stayed: Vec<ChatResult>,
    /// Results at the killed router.
    died: Vec<ChatResult>,
}

/// Starts streams everywhere, kills the last router, and sends its broken requests again.
pub async fn play(run: &mut TrialRun) -> StepReport {
    let Some(victim) = run.deployment.routers.pop() else {
        return StepReport::failed("no router runs");
    };
    let name = victim.host.clone();
    let last = run.deployment.routers.len();
    let plans = plan_streams(last + 1);
    let (staying, dying): (Vec<_>, Vec<_>) = plans.iter().partition(|plan| plan.router < last);
    let results = stream_and_kill(run, victim, &staying, &dying).await;

    let mut report = StepReport::default();
    let (running, streams) = (results.running, plans.len());
    let seen = format!(
        "{running} streams ran over {} routers; {name} killed",
        last + 1
    );
    report.check(running == streams, seen);
    let (whole, streams) = (count_whole(&results.stayed), staying.len());
    let seen = format!("{whole} of {streams} streams of the other routers came whole");
    report.check(whole == streams, seen);
    let broken: Vec<_> = dying
        .iter()
        .zip(&results.died)
        .filter(|(_, result)| is_broken(result))
        .collect();
    let (count, streams) = (broken.len(), dying.len());
    let seen = format!("{count} of {streams} streams of {name} broke off for all to see");
    report.check(count + count_whole(&results.died) == streams, seen);
    let again = broken.iter().map(|(plan, _)| run.ask(0, &plan.id, call()));
    let whole = count_whole(&join_all(again).await);
    let seen = format!(
        "{whole} of them came whole when sent again to {}",
        run.router(0)
    );
    report.check(whole == count, seen);
    report
}

async fn stream_and_kill(
    run: &TrialRun,
    victim: TrialRouter,
    staying: &[&StreamPlan],
    dying: &[&StreamPlan],
) -> StreamResults {
    let address = victim.callers.to_string();
    let stay = join_all(
        staying
            .iter()
            .map(|plan| run.ask(plan.router, &plan.id, call())),
    );
    let die = join_all(
        dying
            .iter()
            .map(|plan| run.ask_at(&address, &plan.id, call())),
    );
    let kill = async {
        let running = until_running(run, &[staying, dying].concat()).await;
        victim.kill();
        running
    };
    let (stayed, died, running) = futures::join!(stay, die, kill);
    StreamResults {
        running,
        stayed,
        died,
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

fn is_whole(result: &ChatResult) -> bool {
    matches!(result, ChatResult::Answered(answer) if answer.completion_tokens == u64::from(TOKENS))
}

fn is_broken(result: &ChatResult) -> bool {
    matches!(result, ChatResult::Broken(_))
}

fn count_whole(results: &[ChatResult]) -> usize {
    results.iter().filter(|result| is_whole(result)).count()
}

/// Waits until engines run all of `plans`; returns how many they ran.
async fn until_running(run: &TrialRun, plans: &[&StreamPlan]) -> usize {
    let limit = Instant::now() + START_LIMIT;
    loop {
        let running = plans
            .iter()
            .filter(|plan| is_started(run, &plan.id))
            .count();
        if running == plans.len() || Instant::now() >= limit {
            return running;
        }
        sleep(LOOK_PAUSE).await;
    }
}

fn is_started(run: &TrialRun, id: &RequestId) -> bool {
    let mut engines = run.deployment.engines.iter();
    engines.any(|engine| engine.counters().of(id).started > 0)
}
