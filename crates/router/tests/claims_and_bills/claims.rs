//! Claims between connected routers.

use std::sync::Arc;

use ferry_decisions::claim::shard_of;
use ferry_kernel::http::BodyFraming;
use ferry_router::claims::{ClaimError, ClaimStart, JoinedAnswer, claim, claim_or_join, void};
use ferry_router::dispatch::ServiceAnswer;
use ferry_router::joins::RequestFingerprint;
use ferry_standin::FaultOrder;
use ferry_standin::faults::AnswerLoss;
use futures::future::join_all;
use hyper::{HeaderMap, StatusCode};
use tokio::time::Instant;

use crate::linked_routers::{
    LinkedRouters, OBSERVATION_TIME, TEST_TIMEOUT, bill_of, key_owned_by, new_key, release,
    start_router, wait_until, waiting_claims,
};

/// Fingerprint of all requests in these tests.
fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::new("POST", "letters/send", &HeaderMap::new(), b"{}")
}

#[tokio::test]
async fn claims_of_all_routers_are_granted_once_and_batched_by_the_owner() {
    let linked = LinkedRouters::start(3).await;
    let first = key_owned_by(1, 3);
    let shard = shard_of(&first.request);
    let keys: Vec<_> = std::iter::repeat_with(new_key)
        .filter(|key| shard_of(&key.request) == shard)
        .take(40)
        .collect();
    let before = linked.platform.counters().appends;
    let attempts = keys
        .iter()
        .flat_map(|key| (0..3).map(|index| claim(linked.core(index), key)));
    let results = join_all(attempts).await;
    for results in results.chunks(3) {
        assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
        let refused = results.iter().filter_map(|result| result.as_ref().err());
        for claim_error in refused {
            assert_eq!(*claim_error, ClaimError::MayHaveRun);
        }
    }
    let appends = linked.platform.counters().appends - before;
    assert!(appends <= 10, "{appends} appends for 40 requests");
}

#[tokio::test]
async fn a_second_send_joins_the_run_of_another_router() {
    let linked = LinkedRouters::start(3).await;
    let key = new_key();
    let deadline = Instant::now() + TEST_TIMEOUT;
    let start = claim_or_join(linked.core(0), &key, fingerprint(), deadline).await;
    let Ok(ClaimStart::Granted(_, handle)) = start else {
        panic!("the first claim is granted");
    };
    let answer = ServiceAnswer {
        framing: BodyFraming::Delimited,
        status: StatusCode::CREATED,
        headers: HeaderMap::new(),
        body: "sent".into(),
    };
    let joins =
        (0..3).map(|index| claim_or_join(linked.core(index), &key, fingerprint(), deadline));
    let finish = async {
        tokio::time::sleep(OBSERVATION_TIME).await;
        handle.finish(JoinedAnswer::from_service_answer(&answer));
    };
    let (joined, ()) = tokio::join!(join_all(joins), finish);
    for start in joined {
        let Ok(ClaimStart::Joined(joined)) = start else {
            panic!("the second sends join");
        };
        assert_eq!(joined, JoinedAnswer::from_service_answer(&answer));
    }
}

#[tokio::test]
async fn a_second_send_gets_may_have_run_when_the_first_ends_without_an_answer() {
    let linked = LinkedRouters::start(2).await;
    let key = new_key();
    let deadline = Instant::now() + TEST_TIMEOUT;
    let start = claim_or_join(linked.core(0), &key, fingerprint(), deadline)
        .await
        .ok();
    let drop_run = async {
        tokio::time::sleep(OBSERVATION_TIME).await;
        drop(start);
    };
    let (second, ()) = tokio::join!(
        claim_or_join(linked.core(1), &key, fingerprint(), deadline),
        drop_run
    );
    assert_eq!(second.err(), Some(ClaimError::MayHaveRun));
}

#[tokio::test]
async fn a_voided_id_can_be_claimed_again_elsewhere() {
    let linked = LinkedRouters::start(3).await;
    let key = new_key();
    let grant = claim(linked.core(0), &key).await.unwrap();
    assert_eq!(
        claim(linked.core(1), &key).await,
        Err(ClaimError::MayHaveRun)
    );
    void(linked.core(0), &grant).await.unwrap();
    claim(linked.core(1), &key).await.unwrap();
}

#[tokio::test]
async fn a_claim_whose_router_stops_before_its_append_leaves_the_id_free() {
    let linked = LinkedRouters::start(2).await;
    let key = key_owned_by(1, 2);
    linked.start_log_outage();
    let (core, claimed_key) = (Arc::clone(linked.core(0)), key.clone());
    let first = tokio::spawn(async move { claim(&core, &claimed_key).await });
    wait_until(|| waiting_claims(&linked, 1) == 1).await;
    linked.kill(0).await;
    wait_until(|| linked.core(1).hub().connected().is_empty()).await;
    first.abort();
    linked.clear_faults();
    claim(linked.core(1), &key).await.unwrap();
}

#[tokio::test]
async fn lost_append_responses_cause_no_second_claim_or_bill() {
    let linked = LinkedRouters::start(3).await;
    linked.platform.set_faults(FaultOrder {
        lose_answers: Some(AnswerLoss {
            count: 6,
            path: "/streams/".to_owned(),
        }),
        ..FaultOrder::default()
    });
    let keys: Vec<_> = (0..6).map(|index| key_owned_by(index % 3, 3)).collect();
    for (index, key) in keys.iter().enumerate() {
        claim(linked.core(index % 3), key).await.unwrap();
        release(linked.core(index % 3), bill_of(key)).await;
        let again = claim(linked.core((index + 1) % 3), key).await;
        assert_eq!(again, Err(ClaimError::Ran));
    }
    let report = linked.wait_until_billed(6).await;
    assert_eq!(report.workspaces["clinic"].requests, 6);
    assert!(!report.counts.need_attention());
}

#[tokio::test]
async fn a_new_owner_reads_recent_claims_and_bills_from_the_log() {
    let mut linked = LinkedRouters::start(1).await;
    let [open, billed] = [new_key(), new_key()];
    claim(linked.core(0), &open).await.unwrap();
    claim(linked.core(0), &billed).await.unwrap();
    release(linked.core(0), bill_of(&billed)).await;
    linked.kill(0).await;
    let new_owner = start_router(&linked.platform.url(), 1).await;
    linked.routers.push(new_owner);
    assert_eq!(
        claim(linked.core(1), &open).await,
        Err(ClaimError::MayHaveRun)
    );
    assert_eq!(claim(linked.core(1), &billed).await, Err(ClaimError::Ran));
}

#[tokio::test]
async fn a_claim_refused_in_a_log_outage_leaves_its_id_free() {
    let linked = LinkedRouters::start(3).await;
    let key = new_key();
    linked.start_log_outage();
    let refused = claim(linked.core(0), &key).await.unwrap_err();
    assert!(matches!(refused, ClaimError::LogUnavailable { .. }));
    linked.clear_faults();
    wait_until(|| linked.core(0).claims.pending_voids() == 0).await;
    wait_until(|| !linked.core(1).appends.is_log_unavailable()).await;
    claim(linked.core(1), &key).await.unwrap();
}
