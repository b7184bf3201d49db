//! Steps of callers: completions, sessions, letters and load.

use cucumber::{then, when};
use ferry_decisions::names::RequestId;
use ferry_rig::{ChatCall, RigClient, eventually};
use hyper::Method;
use serde_json::Value;

use crate::billed_costs::billed_costs;
use crate::caller_load::{CallerLoad, LoadResult};
use crate::sample::client;
use crate::scenario_world::{LetterResult, ScenarioWorld};

/// Least number of new answers of a load before its scenario continues.
const LOAD_START: u64 = 20;

#[when(expr = "the caller asks {string} through router {int}")]
async fn send_request(world: &mut ScenarioWorld, model: String, router: usize) {
    let call = ChatCall::new(&model, "Question");
    world.last = Some(client().chat(&world.callers(router), &call).await);
}

#[when(expr = "the caller starts a session on {string} through router {int}")]
async fn start_session(world: &mut ScenarioWorld, model: String, router: usize) {
    let call = ChatCall::new(&model, "First").header("ferry-session", "new");
    let result = client().chat(&world.callers(router), &call).await;
    let answer = result.clone().answer();
    world.session_versions = vec![answer.version];
    world.session = answer.session;
    world.last = Some(result);
}

#[when(expr = "the caller continues the session {int} times through all routers")]
async fn continue_session_repeatedly(world: &mut ScenarioWorld, times: usize) {
    for number in 0..times {
        let router = number % world.rig().routers.len() + 1;
        continue_session(world, router).await;
        let answer = world.last.take().expect("a request was sent").answer();
        world.session_versions.push(answer.version);
    }
}

#[then("every answer of the session came from its first version")]
async fn session_kept_its_version(world: &mut ScenarioWorld) {
    let first = &world.session_versions[0];
    let same = world
        .session_versions
        .iter()
        .all(|version| version == first);
    assert!(same, "{:?}", world.session_versions);
}

#[when(expr = "the caller continues the session through router {int}")]
async fn continue_session(world: &mut ScenarioWorld, router: usize) {
    let token = world.session.clone().expect("a session was started");
    let call = ChatCall::new("assistant", "Next").header("ferry-session", &token);
    world.last = Some(client().chat(&world.callers(router), &call).await);
}

#[when(expr = "the caller alters the session token and continues through router {int}")]
async fn continue_with_altered_token(world: &mut ScenarioWorld, router: usize) {
    let token = world.session.clone().expect("a session was started");
    let altered = token.replacen("7b", "7c", 1);
    let call = ChatCall::new("assistant", "Next").header("ferry-session", &altered);
    world.last = Some(client().chat(&world.callers(router), &call).await);
}

#[then(expr = "the answer comes from {string}")]
async fn answered_by(world: &mut ScenarioWorld, version: String) {
    let answer = world.last.take().expect("a request was sent").answer();
    assert_eq!(answer.version, version);
}

#[then(expr = "the request is refused as {string} and was {string}")]
async fn refused_as(world: &mut ScenarioWorld, kind: String, run: String) {
    let refusal = world.last.take().expect("a request was sent").refusal();
    assert_eq!(refusal.kind(), kind, "{}", refusal.detail);
    assert_eq!(refusal.run, run);
}

#[then(expr = "router {int} refuses {string} as {string}")]
async fn until_refused(world: &mut ScenarioWorld, router: usize, model: String, kind: String) {
    let address = world.callers(router);
    eventually("the router refuses", || async {
        let call = ChatCall::new(&model, "Question");
        match client().chat(&address, &call).await {
            ferry_rig::ChatResult::Refused(refusal) if refusal.kind() == kind => {
                assert_eq!(refusal.run, "not_run");
                Some(())
            }
            _ => None,
        }
    })
    .await;
}

#[then(expr = "router {int} answers {string}")]
async fn until_answered(world: &mut ScenarioWorld, router: usize, model: String) {
    let address = world.callers(router);
    eventually("the router answers", || async {
        let call = ChatCall::new(&model, "Question");
        let result = client().chat(&address, &call).await;
        matches!(result, ferry_rig::ChatResult::Answered(_)).then_some(())
    })
    .await;
}

#[when(expr = "callers stream {string} through all routers")]
async fn start_load(world: &mut ScenarioWorld, model: String) {
    let addresses: Vec<_> = (0..world.rig().routers.len())
        .map(|index| world.rig().callers(index))
        .collect();
    world.load = Some(CallerLoad::start(&client(), &addresses, &model));
    let before = finished_count(world).await;
    eventually("the load has started", || async {
        (finished_count(world).await >= before + LOAD_START).then_some(())
    })
    .await;
}

#[when("some more requests are answered")]
async fn until_more_answered(world: &mut ScenarioWorld) {
    let before = finished_count(world).await;
    eventually("more requests are answered", || async {
        (finished_count(world).await >= before + LOAD_START).then_some(())
    })
    .await;
}

#[then("every caller got its own whole answer")]
async fn all_answers_complete(world: &mut ScenarioWorld) {
    let result = stop_load(world).await;
    assert!(result.wrong.is_empty(), "{:?}", result.wrong);
    assert!(result.broken.is_empty(), "{:?}", result.broken);
}

#[then("no caller got an answer that is not its own")]
async fn no_wrong_answers(world: &mut ScenarioWorld) {
    let result = stop_load(world).await;
    assert!(result.wrong.is_empty(), "{:?}", result.wrong);
}

#[then("every answered request is billed once")]
async fn billed_once(world: &mut ScenarioWorld) {
    let log = world.rig().log();
    let answered = world.answered.clone();
    assert!(!answered.is_empty(), "no request was answered");
    eventually("every answer is billed", || async {
        let costs = billed_costs(&log).await;
        answered
            .iter()
            .all(|id| costs.contains_key(id))
            .then_some(())
    })
    .await;
}

#[when(expr = "letter {word} is sent through router {int}")]
async fn send_letter(world: &mut ScenarioWorld, letter: String, router: usize) {
    let id = letter_id(world, &letter);
    let result = post_letter(client(), world.callers(router), id).await;
    world.last_letter = Some(result);
}

#[when(expr = "letter {word} is in progress through router {int}")]
async fn start_letter(world: &mut ScenarioWorld, letter: String, router: usize) {
    let id = letter_id(world, &letter);
    let task = tokio::spawn(post_letter(client(), world.callers(router), id.clone()));
    world.letters_in_progress.insert(letter, task);
    eventually("the service runs the letter", || async {
        (letter_run_count(world, &id).await > 0).then_some(())
    })
    .await;
}

#[then("the letter is answered")]
async fn letter_answered(world: &mut ScenarioWorld) {
    let result = world.last_letter.take().expect("a letter was sent");
    assert_eq!(result, Ok((200, None)));
}

#[then(expr = "the letter is refused and {string}")]
async fn letter_refused(world: &mut ScenarioWorld, run: String) {
    let (status, state) = world
        .last_letter
        .take()
        .expect("a letter was sent")
        .unwrap();
    assert_ne!(status, 200);
    assert_eq!(state.as_deref(), Some(run.as_str()));
}

#[then(expr = "letter {word} ran {int} time(s)")]
async fn letter_ran(world: &mut ScenarioWorld, letter: String, times: u64) {
    let id = world.letter_ids[&letter].clone();
    assert_eq!(letter_run_count(world, &id).await, times);
}

async fn stop_load(world: &mut ScenarioWorld) -> LoadResult {
    let load = world.load.take().expect("a load was started");
    let result = load.stop().await;
    world.answered.extend(result.answered.iter().cloned());
    result
}

/// Number of requests that the live engines have finished.
async fn finished_count(world: &ScenarioWorld) -> u64 {
    let mut sum = 0;
    for engine in &world.rig().engines {
        let address = engine.process.address("control");
        if let Some(counters) = world.rig().counters_if_alive(&address).await {
            sum += counters["totals"]["finished"].as_u64().unwrap_or_default();
        }
    }
    sum
}

fn letter_id(world: &mut ScenarioWorld, letter: &str) -> String {
    let new = || RequestId::generate().to_string();
    let id = world
        .letter_ids
        .entry(letter.to_owned())
        .or_insert_with(new);
    id.clone()
}

async fn post_letter(caller: RigClient, address: String, id: String) -> LetterResult {
    let headers = [("idempotency-key", id)];
    let path = "/services/letters/send";
    let (status, _, body) = caller
        .call(&address, Method::POST, path, &headers, "{}")
        .await?;
    let body: Value = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let run = body["run"].as_str().filter(|_| status != 200);
    Ok((status, run.map(str::to_owned)))
}

async fn letter_run_count(world: &ScenarioWorld, id: &str) -> u64 {
    let address = world.rig().services[0].process.address("control");
    let counters = world.rig().counters(&address).await;
    counters["requests"][id]["started"]
        .as_u64()
        .unwrap_or_default()
}
