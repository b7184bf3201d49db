//! Services count every run and echo the call that they received.

use crate::calls::{eventually, put_json, read_text, send, with_header};
use ferry_kernel::http::HttpRequest;
use ferry_platform::engine::NOT_RUN_HEADER;
use ferry_standin::digest::body_digest;
use ferry_standin::faults::{AnswerLoss, CrashOrder};
use ferry_standin::service::ServiceEcho;
use ferry_standin::{FaultOrder, ServiceOptions, ServiceStandin};
use hyper::{Method, StatusCode};

async fn service() -> ServiceStandin {
    ServiceStandin::start(ServiceOptions::default())
        .await
        .unwrap()
}

fn call(service: &ServiceStandin, id: &str, body: &'static str) -> HttpRequest {
    let url = format!("{}/letters/7?copy=1", service.url());
    let request = HttpRequest::new(Method::POST, &url, body.into());
    with_header(request, "x-request-id", id)
}

#[tokio::test]
async fn a_call_is_echoed_and_counted() {
    let service = service().await;
    for runs in 1..=2 {
        let response = send(call(&service, "a", "letter")).await.unwrap();
        let echo: ServiceEcho = serde_json::from_str(&read_text(response).await.unwrap()).unwrap();
        assert_eq!(echo.path, "/letters/7?copy=1");
        assert_eq!(echo.digest, body_digest(b"letter"));
        assert_eq!(echo.runs, runs);
    }
    let count = service.counters().of(&"a".into());
    assert_eq!((count.started, count.finished), (2, 2));
    service.stop().await;
}

#[tokio::test]
async fn a_call_with_a_lost_answer_runs_and_a_refused_call_does_not() {
    let service = service().await;
    service.set_faults(FaultOrder {
        lose_answers: Some(AnswerLoss {
            count: 1,
            path: String::new(),
        }),
        ..FaultOrder::default()
    });
    assert!(send(call(&service, "lost", "x")).await.is_err());
    assert_eq!(service.counters().of(&"lost".into()).finished, 1);
    service.set_faults(FaultOrder {
        leaving: true,
        ..FaultOrder::default()
    });
    let refusal = send(call(&service, "refused", "x")).await.unwrap();
    assert_eq!(refusal.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusal.headers()[NOT_RUN_HEADER], "true");
    assert_eq!(service.counters().of(&"refused".into()).started, 0);
    service.stop().await;
}

#[tokio::test]
async fn a_marked_call_crashes_the_service_until_its_restart() {
    let service = service().await;
    service.set_faults(FaultOrder {
        crash: Some(CrashOrder {
            marker: "POISON".to_owned(),
            simulate: true,
            hang_ms: 0,
            restart_ms: None,
        }),
        ..FaultOrder::default()
    });
    assert!(send(call(&service, "p", "has POISON in it")).await.is_err());
    assert_eq!(service.counters().of(&"p".into()).crashed, 1);
    assert!(send(call(&service, "q", "innocent")).await.is_err());
    let control = format!("http://{}", service.control_address());
    let restart = format!("{control}/standin/restart");
    let ordered = send(HttpRequest::new(Method::POST, &restart, Default::default())).await;
    assert_eq!(ordered.unwrap().status(), StatusCode::ACCEPTED);
    let address = service.address();
    eventually("the service is back", || {
        std::net::TcpStream::connect(address).is_ok()
    })
    .await;
    let back = send(call(&service, "r", "innocent")).await.unwrap();
    assert_eq!(back.status(), StatusCode::OK);
    service.stop().await;
}

#[tokio::test]
async fn invalid_fault_orders_are_refused() {
    let service = service().await;
    let url = format!("{}/standin/faults", service.url());
    let orders = [
        serde_json::json!({"outtage": {}}),
        serde_json::json!({"break_streams_after": 3}),
        serde_json::json!({"crash": {"marker": ""}}),
        serde_json::json!({"slow": {"ms": -1}}),
    ];
    for order in &orders {
        let refused = send(put_json(&url, order)).await.unwrap();
        assert_eq!(refused.status(), StatusCode::BAD_REQUEST, "{order}");
    }
    assert_eq!(
        send(call(&service, "a", "x")).await.unwrap().status(),
        StatusCode::OK
    );
    service.stop().await;
}
