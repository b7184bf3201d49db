//! Faults take effect at once and end when they are cleared.

use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpError, HttpRequest};
use ferry_platform::engine::LoadReport;
use ferry_platform::log::LogClient;
use ferry_standin::faults::{CrashOrder, SlowOrder};
use ferry_standin::{EngineOptions, EngineStandin, FaultOrder, PlatformOptions, PlatformStandin};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

use crate::calls::{TEST_TIMEOUT, chat, chat_call, eventually, read_text, send, stream_chunks};

/// Time during which a suppressed event must not happen; also the delay of the slow fault.
const QUIET_PERIOD: Duration = Duration::from_millis(200);

async fn engine() -> EngineStandin {
    EngineStandin::start(EngineOptions {
        versions: vec!["v1".into()],
        step: Duration::from_millis(1),
        load_lag: Duration::ZERO,
        ..EngineOptions::default()
    })
    .await
    .unwrap()
}

async fn load(engine: &EngineStandin) -> LoadReport {
    let url = format!("{}/load", engine.url());
    HttpClient::default()
        .fetch_json(HttpRequest::get(&url), TEST_TIMEOUT)
        .await
        .unwrap()
}

#[tokio::test]
async fn a_frozen_engine_continues_when_the_freeze_is_cleared() {
    let engine = engine().await;
    engine.set_faults(FaultOrder {
        step_factor: Some(100.0),
        ..FaultOrder::default()
    });
    let request = chat_call(&engine.url(), "f", &chat("v1", "x", true, 500));
    let response = send(request).await.unwrap();
    let started = || engine.counters().of(&"f".into()).started == 1;
    eventually("the run starts", started).await;
    engine.set_faults(FaultOrder {
        freeze: true,
        ..FaultOrder::default()
    });
    let mut reading = tokio::spawn(read_text(response));
    let quiet = tokio::time::timeout(QUIET_PERIOD, &mut reading).await;
    assert!(quiet.is_err(), "a frozen engine finished a run");
    let unanswered = HttpClient::default()
        .send(
            HttpRequest::get(&format!("{}/load", engine.url())),
            QUIET_PERIOD,
        )
        .await;
    assert!(matches!(unanswered, Err(HttpError::Timeout { .. })));
    engine.set_faults(FaultOrder::default());
    let text = reading.await.unwrap().unwrap();
    assert_eq!(stream_chunks(&text).len(), 501);
    engine.stop().await;
}

#[tokio::test]
async fn a_poison_request_crashes_all_runs_of_its_batch() {
    let engine = engine().await;
    engine.set_faults(FaultOrder {
        crash: Some(CrashOrder {
            marker: "POISON".to_owned(),
            simulate: true,
            hang_ms: 0,
            restart_ms: Some(50),
        }),
        ..FaultOrder::default()
    });
    let innocent = chat_call(&engine.url(), "innocent", &chat("v1", "x", true, 100_000));
    let innocent = send(innocent).await.unwrap();
    let poison = chat_call(&engine.url(), "poison", &chat("v1", "POISON", false, 5));
    assert!(send(poison).await.is_err());
    assert!(read_text(innocent).await.is_err());
    for id in ["innocent", "poison"] {
        let count = engine.counters().of(&id.into());
        assert_eq!(
            (count.started, count.crashed, count.finished),
            (1, 1, 0),
            "{id}"
        );
    }
    let address = engine.address();
    eventually("the engine is back", || {
        std::net::TcpStream::connect(address).is_ok()
    })
    .await;
    let again = chat_call(&engine.url(), "again", &chat("v1", "x", false, 5));
    assert!(read_text(send(again).await.unwrap()).await.is_ok());
    engine.stop().await;
}

#[tokio::test]
async fn dropped_load_reports_become_stale() {
    let engine = engine().await;
    engine.set_faults(FaultOrder {
        drop_load_reports: true,
        ..FaultOrder::default()
    });
    let first = load(&engine).await.age_ms;
    tokio::time::sleep(QUIET_PERIOD).await;
    assert!(load(&engine).await.age_ms >= first + QUIET_PERIOD.as_millis() as u64 / 2);
    engine.stop().await;
}

#[tokio::test]
async fn a_slow_fault_delays_only_its_paths() {
    let platform = PlatformStandin::start(PlatformOptions::default())
        .await
        .unwrap();
    let slow_bills = |delay: Duration| FaultOrder {
        slow: Some(SlowOrder {
            ms: delay.as_millis() as u64,
            path: "/streams/bills".to_owned(),
        }),
        ..FaultOrder::default()
    };
    let log = LogClient::new(&platform.url(), TEST_TIMEOUT);
    platform.set_faults(slow_bills(2 * TEST_TIMEOUT));
    let late = log.append("bills/0", "b");
    tokio::pin!(late);
    tokio::select! {
        _ = &mut late => panic!("the delayed append finished first"),
        fast = log.append("claims/0", "c") => assert_eq!(fast.unwrap(), 0),
    }
    platform.set_faults(slow_bills(QUIET_PERIOD));
    let started_at = Instant::now();
    log.append("bills/1", "b").await.unwrap();
    assert!(started_at.elapsed() >= QUIET_PERIOD);
}

#[tokio::test]
async fn a_stop_ends_waiting_reads() {
    let platform = PlatformStandin::start(PlatformOptions::default())
        .await
        .unwrap();
    let log = LogClient::new(&platform.url(), TEST_TIMEOUT);
    let reading = tokio::spawn(async move { log.read("config", 0, 1, TEST_TIMEOUT).await });
    eventually("the read waits", || platform.counters().reads == 1).await;
    platform.stop().await;
    assert!(reading.await.unwrap().unwrap().records.is_empty());
}

/// Guards against a restart that waits for good, since another socket was given the port of a crashed stand-in.
#[tokio::test]
async fn the_port_of_a_crashed_engine_is_not_given_to_another_socket() {
    let engine = engine().await;
    engine.crash().await;
    let other = TcpSocket::new_v4().unwrap();
    assert!(other.bind(engine.address()).is_err());
    assert!(TcpStream::connect(engine.address()).await.is_err());
    engine.restart().await;
    assert!(TcpStream::connect(engine.address()).await.is_ok());
}
