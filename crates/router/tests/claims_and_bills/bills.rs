//! Bills between connected routers, most of them during an outage of the log.

use std::sync::Arc;

use ferry_decisions::bill::BillEntry;
use ferry_router::bills;
use futures::future::join_all;
use tokio::time::timeout;

use crate::linked_routers::{
    LinkedRouters, OBSERVATION_TIME, TEST_TIMEOUT, bill_of, copies_at, new_key, release, wait_until,
};

#[tokio::test]
async fn bills_survive_their_router_in_a_log_outage_and_count_once() {
    let linked = LinkedRouters::start(4).await;
    linked.start_log_outage();
    let keys: Vec<_> = (0..30).map(|_| new_key()).collect();
    let released = keys
        .iter()
        .map(|key| bills::release(linked.core(0), bill_of(key)));
    timeout(TEST_TIMEOUT, join_all(released)).await.unwrap();
    assert_eq!(linked.core(0).bills.at_risk(), 0);
    linked.kill(0).await;
    linked.clear_faults();
    let report = linked.wait_until_billed(30).await;
    assert_eq!(report.workspaces["clinic"].requests, 30);
    assert!(!report.counts.need_attention(), "{:?}", report.anomalies);
}

#[tokio::test]
async fn a_request_that_is_answered_again_gets_no_second_bill() {
    let linked = LinkedRouters::start(3).await;
    let key = new_key();
    let bills = (0..6).map(|cost| BillEntry {
        cost,
        ..bill_of(&key)
    });
    let mut bills: Vec<_> = bills.collect();
    let later = bills.split_off(3);
    let at_once = bills.into_iter().enumerate();
    join_all(at_once.map(|(index, bill)| release(linked.core(index), bill))).await;
    for (index, bill) in later.into_iter().enumerate() {
        release(linked.core(index), bill).await;
    }
    let report = linked.wait_until_billed(1).await;
    assert_eq!(report.workspaces["clinic"].requests, 1);
    assert!(!report.counts.need_attention(), "{:?}", report.anomalies);
}

#[tokio::test]
async fn without_peers_a_bill_is_released_only_once_it_is_on_the_log() {
    let linked = LinkedRouters::start(1).await;
    linked.start_log_outage();
    let bill = bill_of(&new_key());
    let core = Arc::clone(linked.core(0));
    let release = tokio::spawn(async move { bills::release(&core, bill).await });
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert!(!release.is_finished());
    let core = Arc::clone(linked.core(0));
    let drain = tokio::spawn(async move { bills::drain(&core).await });
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert!(!drain.is_finished());
    linked.clear_faults();
    timeout(TEST_TIMEOUT, async { release.await.and(drain.await) })
        .await
        .unwrap()
        .unwrap();
    linked.wait_until_billed(1).await;
}

#[tokio::test]
async fn copies_that_a_stopping_router_holds_are_transferred() {
    let linked = LinkedRouters::start(4).await;
    linked.start_log_outage();
    let key = new_key();
    release(linked.core(0), bill_of(&key)).await;
    linked.kill(0).await;
    let views: Vec<_> = (1..4).map(|index| copies_at(&linked, index)).collect();
    assert_eq!(views.iter().sum::<u64>(), 2);
    let holder = 1 + views.iter().position(|copies| *copies == 1).unwrap();
    wait_until(|| linked.core(holder).appends.is_log_unavailable()).await;
    timeout(TEST_TIMEOUT, bills::drain(linked.core(holder)))
        .await
        .unwrap();
    linked.kill(holder).await;
    linked.clear_faults();
    let report = linked.wait_until_billed(1).await;
    assert_eq!(report.workspaces["clinic"].requests, 1);
}

#[tokio::test]
async fn copies_are_transferred_to_routers_that_had_none() {
    let linked = LinkedRouters::start(4).await;
    linked.start_log_outage();
    for index in 0..4 {
        release(linked.core(index), bill_of(&new_key())).await;
    }
    wait_until(|| linked.core(0).appends.is_log_unavailable()).await;
    timeout(TEST_TIMEOUT, bills::drain(linked.core(0)))
        .await
        .unwrap();
    assert_eq!(copies_at(&linked, 0), 0);
    let copies: u64 = (1..4).map(|index| copies_at(&linked, index)).sum();
    assert_eq!(copies, 8, "two of each bill");
}

#[tokio::test]
async fn a_stop_waits_when_too_few_routers_are_left_to_hold_copies() {
    let linked = LinkedRouters::start(3).await;
    linked.start_log_outage();
    release(linked.core(0), bill_of(&new_key())).await;
    linked.kill(0).await;
    wait_until(|| linked.core(1).hub().connected().len() == 1).await;
    wait_until(|| linked.core(1).appends.is_log_unavailable()).await;
    let core = Arc::clone(linked.core(1));
    let drain = tokio::spawn(async move { bills::drain(&core).await });
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert!(!drain.is_finished(), "only one other copy is left");
    linked.clear_faults();
    timeout(TEST_TIMEOUT, drain).await.unwrap().unwrap();
    linked.wait_until_billed(1).await;
}
