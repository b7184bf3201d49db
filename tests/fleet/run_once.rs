//! Calls that may run only once, with routers killed or frozen at each step of a call.

use std::time::Duration;

use ferry_decisions::claim::{owner_of, shard_of};
use ferry_decisions::names::{HostName, RequestId};
use ferry_rig::{FleetRig, eventually};
use futures::future::join_all;
use serde_json::json;

use crate::letters::{
    LetterAnswer, appends, billed, ledger, letter_fleet, send_in_background, send_letter,
    send_until_settled, service_count,
};
use crate::sample::client;

/// Time that the service takes for a short call.
const SHORT_CALL: Duration = Duration::from_millis(5);
/// Time that the service takes for a call that must still be running when its router is killed.
const LONG_CALL: Duration = Duration::from_secs(3);

/// Step of a call at which its router is killed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum KillStep {
    BeforeClaim,
    AfterClaim,
    AfterDispatch,
    BeforeBill,
    BeforeEnd,
}

fn refused(run: &str) -> LetterAnswer {
    LetterAnswer::Refused(run.to_owned())
}

async fn slow_path(rig: &FleetRig, path: &str, ms: u64) {
    let faults = json!({ "slow": { "ms": ms, "path": path } });
    rig.platform_faults(&faults).await;
}

/// Generates request ids of the shards that router `index` owns while all routers are live.
fn ids_owned_by(rig: &FleetRig, index: usize) -> impl Iterator<Item = String> {
    let names = rig.routers.iter().map(|node| HostName::new(&node.host));
    let hosts: Vec<_> = names.collect();
    std::iter::repeat_with(RequestId::generate)
        .filter(move |id| owner_of(shard_of(id), &hosts) == Some(&hosts[index]))
        .map(|id| id.to_string())
}

/// Waits until router `index` no longer counts router `gone` as live.
async fn until_gone(rig: &FleetRig, index: usize, gone: usize) {
    let host = &rig.routers[gone].host;
    eventually("the router is no longer counted as live", || async move {
        let status = rig.admin(index, "/status").await?;
        let live = status["plugins"]["membership"]["live"].as_array()?;
        let is_gone = live.iter().all(|name| name != host.as_str());
        is_gone.then_some(())
    })
    .await;
}

/// Orders the platform faults that hold a call at `step` until its router is killed.
async fn hold_at_step(rig: &FleetRig, step: KillStep) {
    match step {
        KillStep::BeforeClaim => slow_path(rig, "/streams/claims", 800).await,
        KillStep::AfterClaim => slow_path(rig, "/streams/claims", 400).await,
        KillStep::AfterDispatch => {}
        KillStep::BeforeBill => slow_path(rig, "/streams/bills", 800).await,
        KillStep::BeforeEnd => {
            let loss = json!({ "lose_answers": { "count": 1_000, "path": "/streams/bills" } });
            rig.platform_faults(&loss).await;
        }
    }
}

/// Waits until the call has reached `step`; `before` is the number of appends before the call.
async fn until_step(rig: &FleetRig, step: KillStep, id: &str, before: u64) {
    eventually("the call has reached its step", || async {
        let reached = match step {
            KillStep::BeforeClaim => {
                let status = rig.admin(0, "/status").await?;
                status["in_progress"].as_u64()? > 0
            }
            KillStep::AfterClaim => appends(rig).await > before,
            KillStep::AfterDispatch => service_count(rig, id, "started").await > 0,
            KillStep::BeforeBill => service_count(rig, id, "finished").await > 0,
            KillStep::BeforeEnd => appends(rig).await > before + 1,
        };
        reached.then_some(())
    })
    .await;
}

/// Kills router 0 at `step` of a call, then sends the call to router 1. Returns the fleet, the request id and router 1's
/// answer.
async fn kill_and_resend(step: KillStep) -> (FleetRig, String, LetterAnswer) {
    let duration = match step {
        KillStep::AfterDispatch => LONG_CALL,
        _ => SHORT_CALL,
    };
    let mut rig = letter_fleet(2, duration).await;
    let id = ids_owned_by(&rig, 0).next().unwrap();
    hold_at_step(&rig, step).await;
    let before = appends(&rig).await;
    let first = send_in_background(&rig, 0, &id);
    until_step(&rig, step, &id, before).await;
    rig.routers[0].process.kill().await;
    assert_eq!(first.await.unwrap(), LetterAnswer::Broken, "{step:?}");
    rig.platform_heal().await;
    let second = send_until_settled(&rig, 1, &id).await;
    (rig, id, second)
}

#[tokio::test]
async fn a_call_whose_router_is_killed_before_its_claim_runs_at_another_router() {
    let (rig, id, second) = kill_and_resend(KillStep::BeforeClaim).await;
    assert_eq!(second, LetterAnswer::Answered);
    assert_eq!(service_count(&rig, &id, "started").await, 1);
    assert_eq!(billed(&rig).await, 1);
}

#[tokio::test]
async fn a_call_whose_router_is_killed_while_the_owner_has_its_claim_runs_at_another_router() {
    let mut rig = letter_fleet(2, SHORT_CALL).await;
    let id = ids_owned_by(&rig, 1).next().unwrap();
    let outage = json!({ "outage": { "answer": "drop", "path": "/streams/claims" } });
    rig.platform_faults(&outage).await;
    let first = send_in_background(&rig, 0, &id);
    until_step(&rig, KillStep::BeforeClaim, &id, 0).await;
    rig.routers[0].process.kill().await;
    assert_eq!(first.await.unwrap(), LetterAnswer::Broken);
    until_gone(&rig, 1, 0).await;
    rig.platform_heal().await;
    let second = send_until_settled(&rig, 1, &id).await;
    assert_eq!(second, LetterAnswer::Answered);
    assert_eq!(service_count(&rig, &id, "started").await, 1);
    assert_eq!(billed(&rig).await, 1);
}

#[tokio::test]
async fn a_call_whose_router_is_killed_after_its_claim_is_refused_as_may_have_run() {
    let (rig, id, second) = kill_and_resend(KillStep::AfterClaim).await;
    assert_eq!(second, refused("may_have_run"));
    assert_eq!(service_count(&rig, &id, "started").await, 0);
    assert_eq!(billed(&rig).await, 0);
}

#[tokio::test]
async fn a_call_whose_router_is_killed_after_its_dispatch_does_not_run_again() {
    let (rig, id, second) = kill_and_resend(KillStep::AfterDispatch).await;
    assert_eq!(second, refused("may_have_run"));
    assert_eq!(service_count(&rig, &id, "started").await, 1);
    assert_eq!(billed(&rig).await, 0);
}

#[tokio::test]
async fn a_call_whose_router_is_killed_before_its_bill_does_not_run_again() {
    let (rig, id, second) = kill_and_resend(KillStep::BeforeBill).await;
    assert_eq!(second, refused("may_have_run"));
    assert_eq!(service_count(&rig, &id, "started").await, 1);
    assert!(billed(&rig).await <= 1);
}

#[tokio::test]
async fn a_call_whose_router_is_killed_after_its_bill_is_refused_as_ran() {
    let (rig, id, second) = kill_and_resend(KillStep::BeforeEnd).await;
    assert_eq!(second, refused("ran"));
    assert_eq!(service_count(&rig, &id, "started").await, 1);
    assert_eq!(billed(&rig).await, 1);
}

#[tokio::test]
async fn a_call_sent_through_all_routers_at_once_runs_once() {
    let rig = letter_fleet(3, SHORT_CALL).await;
    let ids: Vec<_> = (0..20).map(|_| RequestId::generate().to_string()).collect();
    let sends = ids
        .iter()
        .flat_map(|id| (0..3).map(|index| send_in_background(&rig, index, id)));
    let answers = join_all(sends).await;
    for (id, answers) in ids.iter().zip(answers.chunks(3)) {
        let answers: Vec<_> = answers.iter().map(|a| a.as_ref().unwrap()).collect();
        assert!(answers.contains(&&LetterAnswer::Answered), "{answers:?}");
        assert!(!answers.contains(&&refused("not_run")), "{answers:?}");
        assert!(!answers.contains(&&LetterAnswer::Broken), "{answers:?}");
        assert_eq!(service_count(&rig, id, "started").await, 1);
    }
    let report = ledger(&rig).await;
    assert_eq!(report.workspaces["clinic"].requests, 20);
    assert!(!report.counts.need_attention(), "{:?}", report.anomalies);
}

#[tokio::test]
async fn an_owner_that_is_frozen_and_thawed_grants_no_claim_twice() {
    let rig = letter_fleet(3, SHORT_CALL).await;
    let ids: Vec<_> = ids_owned_by(&rig, 0).take(8).collect();
    slow_path(&rig, "/streams/claims", 300).await;
    let before = appends(&rig).await;
    let early: Vec<_> = ids
        .iter()
        .map(|id| send_in_background(&rig, 0, id))
        .collect();
    eventually("the owner appends a claim", || async {
        (appends(&rig).await > before).then_some(())
    })
    .await;
    rig.routers[0].process.freeze().await;
    rig.platform_heal().await;
    let (caller, address) = (client(), rig.callers(1));
    let late = ids.iter().map(|id| send_letter(&caller, &address, id));
    let late = join_all(late).await;
    rig.routers[0].process.thaw();
    let early = join_all(early).await;
    for ((id, early), late) in ids.iter().zip(early).zip(late) {
        let runs = service_count(&rig, id, "started").await;
        let answers = [early.unwrap(), late];
        let answered = answers
            .iter()
            .filter(|answer| **answer == LetterAnswer::Answered)
            .count() as u64;
        assert!(runs <= 1, "{id} ran {runs} times");
        assert_eq!(answered, runs, "{id}: {answers:?}");
    }
    let answered: u64 = billed(&rig).await;
    let mut runs = 0;
    for id in &ids {
        runs += service_count(&rig, id, "started").await;
    }
    assert_eq!(answered, runs);
}

#[tokio::test]
async fn an_owner_thawed_after_its_takeover_respects_claims_granted_meanwhile() {
    let rig = letter_fleet(3, SHORT_CALL).await;
    let mut ids = ids_owned_by(&rig, 0);
    let early: Vec<_> = ids.by_ref().take(4).collect();
    for id in &early {
        let answer = send_letter(&client(), &rig.callers(1), id).await;
        assert_eq!(answer, LetterAnswer::Answered, "the owner grants");
    }
    rig.routers[0].process.freeze().await;
    until_gone(&rig, 1, 0).await;
    let meanwhile: Vec<_> = ids.by_ref().take(4).collect();
    for id in &meanwhile {
        let answer = send_letter(&client(), &rig.callers(1), id).await;
        assert_eq!(answer, LetterAnswer::Answered, "the new owner grants");
    }
    rig.routers[0].process.thaw();
    for id in early.iter().chain(&meanwhile) {
        let answer = send_until_settled(&rig, 0, id).await;
        assert_eq!(answer, refused("ran"), "{id}");
    }
    let fresh: Vec<_> = ids.take(8).collect();
    let sends = fresh
        .iter()
        .flat_map(|id| (0..3).map(|index| send_in_background(&rig, index, id)));
    let answers = join_all(sends).await;
    for answer in answers {
        let answer = answer.unwrap();
        assert!(answer != refused("not_run") && answer != LetterAnswer::Broken);
    }
    for id in early.iter().chain(&meanwhile).chain(&fresh) {
        assert_eq!(service_count(&rig, id, "started").await, 1, "{id}");
    }
    assert_eq!(billed(&rig).await, 16);
}
