//! Answers that end with their connection: without framing, or in the middle.

use std::net::{IpAddr, Ipv4Addr};
use std::thread;
use std::time::Duration;

use ferry_decisions::registry::UpstreamStage;
use ferry_decisions::ruleset::RunKind;
use ferry_rig::{LinkProxy, PartitionScope};
use ferry_router::relay::RelayDaemon;
use ferry_standin::ReplicaPlan;
use hyper::StatusCode;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::deployment::{Deployment, call, eventually, is_ready, request, rule};
use crate::held_replica::{HeldAnswer, HeldReplica};
use crate::raw_replica::{
    RawAnswer, RawEnd, RawFraming, RawPlan, read_raw, read_raw_at, start_raw_replica,
};

const WHOLE: &str = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n";
const INSIDE_AN_EVENT: &str = "id: 1\ndata: part 1\n\nid: 2\nda";
const BETWEEN_EVENTS: &str = "id: 1\ndata: part 1\n\n";
const BEFORE_THE_LAST_BLANK_LINE: &str = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n";

/// Kinds of runs, with the prefix of their paths.
const KINDS: [(&str, RunKind); 4] = [
    ("/notes/", RunKind::Idempotent),
    ("/letters/", RunKind::Once),
    ("/drafts/", RunKind::Stream),
    ("/chats/", RunKind::ResumableStream),
];

fn plan(sent: &'static str, framing: RawFraming, end: RawEnd) -> RawPlan {
    RawPlan {
        whole: WHOLE,
        sent,
        framing,
        end,
        exits: false,
    }
}

async fn deployment() -> Deployment {
    let deployment = Deployment::start().await;
    deployment.configure(1, &KINDS.map(|(prefix, run)| rule(prefix, run)));
    deployment
}

#[tokio::test]
async fn no_answer_that_was_broken_off_is_framed_as_complete() {
    let mut framed = Vec::new();
    for framing in [RawFraming::None, RawFraming::Length, RawFraming::Chunks] {
        for sent in [
            INSIDE_AN_EVENT,
            BETWEEN_EVENTS,
            BEFORE_THE_LAST_BLANK_LINE,
            "",
        ] {
            for end in [RawEnd::Fin, RawEnd::Rst] {
                let deployment = deployment().await;
                start_raw_replica(&deployment, "up-1", plan(sent, framing, end)).await;
                let relay = deployment.relay().await;
                for (prefix, run) in KINDS {
                    let answer = read_raw(&relay, &format!("{prefix}7"), "a").await;
                    if answer.is_success() && answer.is_framed_as_complete() {
                        framed.push(format!("{run:?}, {framing:?}, {end:?}, {sent:?}"));
                    }
                }
            }
        }
    }
    assert!(framed.is_empty(), "{framed:#?}");
}

/// Guards against an end that hides the break: the caller got the events before it and a clean end of the connection.
#[tokio::test]
async fn an_unframed_stream_that_is_known_to_be_broken_ends_with_a_reset() {
    for (sent, end) in [
        (INSIDE_AN_EVENT, RawEnd::Fin),
        (BEFORE_THE_LAST_BLANK_LINE, RawEnd::Fin),
        (BETWEEN_EVENTS, RawEnd::Rst),
    ] {
        let deployment = deployment().await;
        start_raw_replica(&deployment, "up-1", plan(sent, RawFraming::None, end)).await;
        let relay = deployment.relay().await;
        for prefix in ["/drafts/", "/chats/"] {
            let answer = read_raw(&relay, &format!("{prefix}7"), "a").await;
            assert!(answer.was_reset, "{prefix}: {sent:?}: {answer:?}");
        }
    }
}

#[tokio::test]
async fn an_answer_without_framing_is_delivered_whole_and_without_framing() {
    let deployment = deployment().await;
    let unframed = plan(WHOLE, RawFraming::None, RawEnd::Fin);
    start_raw_replica(&deployment, "up-1", unframed).await;
    let relay = deployment.relay().await;
    for (prefix, run) in KINDS {
        let answer = read_raw(&relay, &format!("{prefix}7"), "a").await;
        assert!(answer.is_success(), "{run:?}: {answer:?}");
        assert!(!answer.is_framed_as_complete(), "{run:?}: {answer:?}");
        assert_eq!(answer.text(), WHOLE, "{run:?}");
    }
}

#[tokio::test]
async fn a_framed_stream_that_ends_inside_an_event_does_not_look_complete() {
    for sent in [INSIDE_AN_EVENT, BEFORE_THE_LAST_BLANK_LINE] {
        let deployment = deployment().await;
        let framed = RawPlan {
            whole: sent,
            ..plan(sent, RawFraming::Chunks, RawEnd::Fin)
        };
        start_raw_replica(&deployment, "up-1", framed).await;
        let relay = deployment.relay().await;
        for prefix in ["/drafts/", "/chats/"] {
            let answer = call(request(&relay, &format!("{prefix}7"), "a")).await;
            assert_eq!(answer.body, None, "{prefix}: {sent:?}");
        }
    }
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_continues_elsewhere() {
    let unframed = plan(INSIDE_AN_EVENT, RawFraming::None, RawEnd::Fin);
    assert_continues_elsewhere(unframed).await;
}

#[tokio::test]
async fn an_unframed_stream_whose_upstream_has_ended_continues_elsewhere() {
    let ended = RawPlan {
        exits: true,
        ..plan(BETWEEN_EVENTS, RawFraming::None, RawEnd::Fin)
    };
    assert_continues_elsewhere(ended).await;
}

/// Checks that a stream which an upstream with this plan cuts after its first event is completed by another one.
async fn assert_continues_elsewhere(plan: RawPlan) {
    let deployment = deployment().await;
    start_raw_replica(&deployment, "up-1", plan).await;
    let healthy = deployment.replica("up-2", "v1").await;
    healthy.plan(ReplicaPlan {
        events: 2,
        gap: Duration::from_millis(5),
        ..ReplicaPlan::default()
    });
    let relay = deployment.relay().await;
    let mut number = 0;
    eventually("a stream is resumed", async || {
        number += 1;
        let answer = call(request(&relay, &format!("/chats/{number}"), "a")).await;
        let runs = healthy.runs();
        let resumed = runs.iter().any(|run| run.request.last_event == Some(1));
        if resumed || !runs.is_empty() {
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(answer.body.unwrap(), WHOLE);
        }
        resumed
    })
    .await;
}

/// Answers of each kind that an upstream sends when it ends.
const HELD_PER_KIND: usize = 4;
/// Number of upstream connections that these take.
const HELD: usize = HELD_PER_KIND * KINDS.len();

/// What a router learns of an upstream before the upstream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Notice {
    /// Nothing.
    None,
    /// Its entry says that it is draining.
    Draining,
    /// It says in an answer that it is leaving.
    Leaving,
    /// It asks for a pause.
    Pause,
}

/// Sends requests of all kinds to `relay`, and waits until `replica` has begun to answer each.
async fn hold_answers(relay: &RelayDaemon, replica: &HeldReplica) -> Vec<JoinHandle<RawAnswer>> {
    let begun = replica.begun();
    let mut answers = Vec::new();
    for number in 0..HELD_PER_KIND {
        for (prefix, _) in KINDS {
            let callers = relay.callers_address();
            let path = format!("{prefix}{number}");
            let answer = async move { read_raw_at(callers, &path, "a").await };
            answers.push(tokio::spawn(answer));
        }
    }
    eventually("all answers have begun", async || {
        replica.begun() == begun + HELD
    })
    .await;
    answers
}

/// Answers that look complete to their callers.
async fn complete_answers(answers: Vec<JoinHandle<RawAnswer>>) -> Vec<RawAnswer> {
    let mut complete = Vec::new();
    for answer in answers {
        let answer = answer.await.unwrap();
        if answer.looks_complete() {
            complete.push(answer);
        }
    }
    complete
}

/// Lets `replica` give `notice`, and waits until `relay` has taken note of it.
async fn give_notice(
    deployment: &Deployment,
    relay: &RelayDaemon,
    replica: &HeldReplica,
    notice: Notice,
) {
    match notice {
        Notice::None => return,
        Notice::Draining => replica.register(deployment, UpstreamStage::Draining, 2),
        Notice::Leaving => replica.answer_with(HeldAnswer::Leaving),
        Notice::Pause => replica.answer_with(HeldAnswer::Pause),
    }
    if notice != Notice::Draining {
        let answer = call(request(relay, "/notes/notice", "notice")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    eventually("the router takes note", async || {
        let status = relay.status();
        let mut services = status.services.iter();
        services.any(|service| service.leaving + service.paused == 1)
    })
    .await;
}

/// Notices that an upstream may give before its end.
const NOTICES: [Notice; 4] = [
    Notice::None,
    Notice::Draining,
    Notice::Leaving,
    Notice::Pause,
];

/// Answers that look complete where an upstream gives `notice` while it sends them, and then ends them with `end`.
async fn complete_answers_after(notice: Notice, end: fn(&HeldReplica)) -> Vec<RawAnswer> {
    let deployment = deployment().await;
    let replica = HeldReplica::start(&deployment, "up-1").await;
    let relay = deployment.relay().await;
    let answers = hold_answers(&relay, &replica).await;
    give_notice(&deployment, &relay, &replica, notice).await;
    end(&replica);
    complete_answers(answers).await
}

/// Guards against an answer that ends with its upstream's process and looks complete, since another answer, a notice or a lost path kept the
/// router from asking whether the process lives.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_of_an_upstream_that_ended_looks_complete() {
    for notice in NOTICES {
        let complete = complete_answers_after(notice, HeldReplica::end).await;
        assert!(complete.is_empty(), "{notice:?}: {complete:#?}");
    }
}

/// Guards against an answer that ended with its upstream's process and looks complete, since the next process accepts connections at the same
/// address when the router asks: the router was suspended, or the end came late.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_of_an_upstream_that_another_one_replaced_looks_complete() {
    for notice in NOTICES {
        let complete = complete_answers_after(notice, |replica| replica.replace("up-1-next")).await;
        assert!(complete.is_empty(), "{notice:?}: {complete:#?}");
    }
}

/// The same where the next process has the same id, so that only the start time in its entry differs.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_of_an_upstream_that_restarted_under_its_id_looks_complete() {
    let deployment = deployment().await;
    let replica = HeldReplica::start(&deployment, "up-1").await;
    let relay = deployment.relay().await;
    let answers = hold_answers(&relay, &replica).await;
    replica.register_restart(&deployment);
    eventually("the router lists the next start", async || {
        relay
            .status()
            .services
            .iter()
            .any(|service| service.in_flight == 0)
    })
    .await;
    replica.finish_answers();
    let complete = complete_answers(answers).await;
    assert!(complete.is_empty(), "{complete:#?}");
}

/// Time for which a router is suspended, and the part of it after which an upstream's answers end.
const SUSPENSION: Duration = Duration::from_millis(2_000);
const END_IN_SUSPENSION: Duration = Duration::from_millis(1_900);

/// A router that syncs from another one, and its runtime, whose only thread a test can block.
async fn start_synced(deployment: &Deployment) -> (Vec<(Runtime, RelayDaemon)>, usize) {
    let mut routers = Vec::new();
    for host in ["entry-1", "entry-2"] {
        let mut builder = Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().unwrap();
        let relay = deployment.start_on(&runtime, host).await;
        eventually("the router is ready", async || is_ready(&relay).await).await;
        routers.push((runtime, relay));
    }
    let is_synced = |(_, relay): &(Runtime, RelayDaemon)| relay.is_synced_from_peer();
    eventually("one syncs from the other", async || {
        routers.iter().filter(|router| is_synced(router)).count() == 1
    })
    .await;
    let synced = routers.iter().position(is_synced).unwrap();
    (routers, synced)
}

/// Answers that look complete where they end with `end` just before the end of a suspension of their router.
async fn complete_answers_after_suspension(end: fn(&Deployment, &HeldReplica)) -> usize {
    let mut deployment = deployment().await;
    // Entries are read as often as on the users' platform.
    deployment.bounds.drain = Duration::from_secs(2);
    let replica = HeldReplica::start(&deployment, "up-1").await;
    let (routers, synced) = start_synced(&deployment).await;
    let (runtime, relay) = &routers[synced];
    let answers = hold_answers(relay, &replica).await;
    runtime.spawn(async { thread::sleep(SUSPENSION) });
    sleep(END_IN_SUSPENSION).await;
    end(&deployment, &replica);
    let complete = complete_answers(answers).await.len();
    for (runtime, _relay) in routers {
        runtime.shutdown_background();
    }
    complete
}

/// Guards against a cut answer that looks complete, since the next process has the same id, and its entry is not known yet to a router that
/// was suspended.
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_of_an_upstream_that_restarted_in_a_suspension_looks_complete() {
    let complete = complete_answers_after_suspension(|deployment, replica| {
        replica.register_restart(deployment);
        replica.finish_answers();
    });
    assert_eq!(complete.await, 0);
}

/// The counterpart: a whole answer that is read after a suspension is delivered.
#[tokio::test(flavor = "multi_thread")]
async fn each_whole_answer_is_delivered_after_a_suspension() {
    let complete = complete_answers_after_suspension(|_, replica| replica.finish_answers());
    assert_eq!(complete.await, HELD);
}

/// The counterpart: what a process that lives on has sent to its end is delivered, whatever it said of itself meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn each_answer_of_an_upstream_that_lives_on_is_delivered() {
    for notice in NOTICES {
        let complete = complete_answers_after(notice, HeldReplica::finish_answers).await;
        assert_eq!(complete.len(), HELD, "{notice:?}");
    }
}

/// Guards against answers of a service without a health check that are all taken for cut, or all for whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_a_service_without_a_health_check_is_whole_if_its_port_stays_open() {
    let ends: [fn(&HeldReplica); 2] = [HeldReplica::finish_answers, HeldReplica::end];
    for (end, expected) in ends.into_iter().zip([HELD, 0]) {
        let mut deployment = Deployment::start().await;
        deployment.health_path = None;
        deployment.configure(1, &KINDS.map(|(prefix, run)| rule(prefix, run)));
        let replica = HeldReplica::start(&deployment, "up-1").await;
        let relay = deployment.relay().await;
        let answers = hold_answers(&relay, &replica).await;
        end(&replica);
        let complete = complete_answers(answers).await;
        assert_eq!(complete.len(), expected, "{complete:#?}");
    }
}

/// What becomes of an upstream's process when its answers end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeldEnd {
    Ends,
    /// The next process listens at its address.
    IsReplaced,
    LivesOn,
}

/// Routers of which the first is partitioned from the upstream, and reaches it through the second.
async fn cut_routers(deployment: &Deployment, link: &LinkProxy) -> [RelayDaemon; 2] {
    let address = |number: u8| -> IpAddr { Ipv4Addr::new(127, 0, 0, number).into() };
    let cut = deployment.relay_at("entry-1", "zone-a", address(111)).await;
    let other = deployment.relay_at("entry-2", "zone-b", address(112)).await;
    for relay in [&cut, &other] {
        eventually("each router lists both", async || {
            relay.status().relays == 2
        })
        .await;
    }
    link.partition(address(111), PartitionScope::All).unwrap();
    [cut, other]
}

/// The same for answers by way of another router.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_through_another_router_looks_complete_only_if_its_upstream_lives() {
    for end in [HeldEnd::Ends, HeldEnd::IsReplaced, HeldEnd::LivesOn] {
        let deployment = deployment().await;
        let replica = HeldReplica::start(&deployment, "up-1").await;
        let link = LinkProxy::start(Ipv4Addr::LOCALHOST.into()).await.unwrap();
        link.set_target(replica.address());
        replica.register_at(&deployment, link.address, UpstreamStage::Ready, 2);
        let [cut, _other] = cut_routers(&deployment, &link).await;
        let answers = hold_answers(&cut, &replica).await;
        match end {
            HeldEnd::Ends => replica.end(),
            HeldEnd::IsReplaced => replica.replace("up-1-next"),
            HeldEnd::LivesOn => replica.finish_answers(),
        }
        let complete = complete_answers(answers).await;
        let expected = if end == HeldEnd::LivesOn { HELD } else { 0 };
        assert_eq!(complete.len(), expected, "{end:?}: {complete:#?}");
    }
}
