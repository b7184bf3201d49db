//! The platform follows the published protocols of the log, the host list and the rating service.

use std::time::Duration;

use crate::calls::{TEST_TIMEOUT, put_json, send};
use ferry_kernel::http::HttpRequest;
use ferry_platform::hosts::{HostEntry, HostRole, HostState, HostsClient};
use ferry_platform::log::{LogClient, LogError};
use ferry_platform::ratings::{RatingRequest, RatingsClient};
use ferry_standin::faults::{AnswerLoss, OutageAnswer, OutageOrder};
use ferry_standin::platform::{RatingRule, RetentionRule};
use ferry_standin::{FaultOrder, PlatformOptions, PlatformStandin};
use hyper::{Method, StatusCode};

async fn platform() -> (PlatformStandin, LogClient) {
    let options = PlatformOptions {
        ratings_lag: Duration::ZERO,
        ..PlatformOptions::default()
    };
    let platform = PlatformStandin::start(options).await.unwrap();
    let log = LogClient::new(&platform.url(), TEST_TIMEOUT);
    (platform, log)
}

#[tokio::test]
async fn offsets_are_consecutive_in_each_stream() {
    let (platform, log) = platform().await;
    for offset in 0..3 {
        assert_eq!(log.append("claims/1", "a").await.unwrap(), offset);
    }
    assert_eq!(log.append("claims/2", "b").await.unwrap(), 0);
    let answer = log.read("claims/1", 1, 10, Duration::ZERO).await.unwrap();
    assert_eq!((answer.earliest, answer.next), (0, 3));
    let offsets: Vec<u64> = answer.records.iter().map(|record| record.offset).collect();
    assert_eq!(offsets, [1, 2]);
    platform.stop().await;
}

#[tokio::test]
async fn a_long_poll_ends_with_the_record_it_waits_for() {
    let (platform, log) = platform().await;
    let reader = log.clone();
    let read = tokio::spawn(async move { reader.read("config", 0, 10, TEST_TIMEOUT).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    log.append("config", "change").await.unwrap();
    let answer = read.await.unwrap().unwrap();
    assert_eq!(answer.records[0].data, "change");
    platform.stop().await;
}

#[tokio::test]
async fn retention_drops_old_records_and_keeps_offsets() {
    let (platform, log) = platform().await;
    let rule = RetentionRule {
        stream: "bills/".to_owned(),
        keep_records: 2,
        ..RetentionRule::default()
    };
    let order = put_json(&format!("{}/standin/retention", platform.url()), &rule);
    assert_eq!(send(order).await.unwrap().status(), StatusCode::OK);
    for _ in 0..5 {
        log.append("bills/0", "b").await.unwrap();
        log.append("config", "c").await.unwrap();
    }
    let bills = log.read("bills/0", 0, 10, Duration::ZERO).await.unwrap();
    assert_eq!((bills.earliest, bills.next, bills.records.len()), (3, 5, 2));
    let config = log.read("config", 0, 10, Duration::ZERO).await.unwrap();
    assert_eq!(config.records.len(), 5);
    platform.stop().await;
}

#[tokio::test]
async fn appends_above_the_rate_are_refused_and_not_stored() {
    let options = PlatformOptions {
        appends_per_second: 1,
        ..PlatformOptions::default()
    };
    let platform = PlatformStandin::start(options).await.unwrap();
    let log = LogClient::new(&platform.url(), TEST_TIMEOUT);
    let mut accepted = 0;
    let mut refused = 0;
    while refused == 0 {
        match log.append("s", "x").await {
            Ok(_) => accepted += 1,
            Err(LogError::Refused(_)) => refused += 1,
            Err(error) => panic!("{error}"),
        }
    }
    let answer = log.read("s", 0, 10_000, Duration::ZERO).await.unwrap();
    assert_eq!(answer.next, accepted);
    assert_eq!(platform.counters().refused_appends, refused);
    platform.stop().await;
}

#[tokio::test]
async fn invalid_records_and_stream_names_are_refused() {
    let (platform, log) = platform().await;
    let refused = log.append("s", vec![0xff, 0xfe]).await;
    assert!(matches!(refused, Err(LogError::Refused(_))));
    let refused = log.append("Not%20A%20Name", "x").await;
    assert!(matches!(refused, Err(LogError::Refused(_))));
    let answer = log.read("s", 0, 1, Duration::ZERO).await.unwrap();
    assert_eq!(answer.next, 0);
    platform.stop().await;
}

#[tokio::test]
async fn a_lost_answer_leaves_the_record_on_the_log() {
    let (platform, log) = platform().await;
    platform.set_faults(FaultOrder {
        lose_answers: Some(AnswerLoss {
            count: 1,
            path: "/streams/claims".to_owned(),
        }),
        ..FaultOrder::default()
    });
    log.append("config", "kept").await.unwrap();
    let lost = log.append("claims/0", "lost").await;
    assert!(matches!(lost, Err(LogError::Unconfirmed(_))));
    assert_eq!(log.append("claims/0", "next").await.unwrap(), 1);
    platform.stop().await;
}

#[tokio::test]
async fn an_outage_is_limited_to_its_paths_and_ends_when_cleared() {
    let (platform, log) = platform().await;
    let url = format!("{}/standin/faults", platform.url());
    for answer in [OutageAnswer::Unavailable, OutageAnswer::Drop] {
        let order = FaultOrder {
            outage: Some(OutageOrder {
                answer,
                path: "/streams".to_owned(),
            }),
            ..FaultOrder::default()
        };
        let ordered = send(put_json(&url, &order)).await.unwrap();
        assert_eq!(ordered.status(), StatusCode::OK);
        assert!(log.append("s", "x").await.is_err());
        let hosts = HostsClient::new(&platform.url(), TEST_TIMEOUT);
        assert!(hosts.list().await.is_ok());
    }
    let clear = HttpRequest::new(Method::DELETE, &url, Default::default());
    send(clear).await.unwrap();
    assert_eq!(log.append("s", "x").await.unwrap(), 0);
    platform.stop().await;
}

#[tokio::test]
async fn the_host_list_shows_changes_after_its_lag() {
    let options = PlatformOptions {
        hosts_lag: Duration::from_secs(3_600),
        ..PlatformOptions::default()
    };
    let platform = PlatformStandin::start(options).await.unwrap();
    let hosts = HostsClient::new(&platform.url(), TEST_TIMEOUT);
    let entry = HostEntry {
        name: "router-1".into(),
        zone: "nasr-hall".into(),
        role: HostRole::Router,
        state: HostState::Live,
        address: "127.0.0.1:1".to_owned(),
        versions: Vec::new(),
        service: None,
    };
    let url = format!("{}/hosts/router-1", platform.url());
    send(put_json(&url, &entry)).await.unwrap();
    assert!(hosts.list().await.unwrap().hosts.is_empty());
    let lags = serde_json::json!({"hosts_ms": 0, "ratings_ms": 0});
    send(put_json(&format!("{}/standin/lags", platform.url()), &lags))
        .await
        .unwrap();
    assert_eq!(
        hosts.list().await.unwrap().hosts,
        std::slice::from_ref(&entry)
    );
    let leaving = HostEntry {
        state: HostState::Leaving,
        ..entry
    };
    send(put_json(&url, &leaving)).await.unwrap();
    assert_eq!(hosts.list().await.unwrap().hosts, [leaving]);
    platform.stop().await;
}

#[tokio::test]
async fn ratings_are_the_same_for_the_same_request() {
    let (platform, _) = platform().await;
    let rule = RatingRule {
        bad_fraction: 0.5,
        ..RatingRule::default()
    };
    let url = format!("{}/standin/ratings/v1", platform.url());
    assert_eq!(
        send(put_json(&url, &rule)).await.unwrap().status(),
        StatusCode::OK
    );
    let ratings = RatingsClient::new(&platform.url());
    let mut bad = 0;
    for index in 0..40 {
        let mut request = RatingRequest {
            request_id: format!("request-{index}").as_str().into(),
            version: "v1".into(),
            prompt: "prompt".to_owned(),
            answer: "answer".to_owned(),
        };
        let first = ratings.rate(&request, TEST_TIMEOUT).await.unwrap().score;
        let second = ratings.rate(&request, TEST_TIMEOUT).await.unwrap().score;
        assert_eq!(first, second);
        bad += u32::from(first < 0.5);
        request.answer = "digest=1 bad-answer".to_owned();
        assert_eq!(
            ratings.rate(&request, TEST_TIMEOUT).await.unwrap().score,
            0.1
        );
    }
    assert!((5..35).contains(&bad), "{bad} of 40 are bad");
    platform.stop().await;
}
