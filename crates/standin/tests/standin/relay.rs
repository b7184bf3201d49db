//! A relay passes connections on, and cuts or stalls them by order.

use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpError, HttpRequest};
use ferry_platform::log::LogClient;
use ferry_standin::{LinkOrder, PlatformOptions, PlatformStandin, RelayOptions, RelayStandin};
use hyper::{Method, StatusCode};

use crate::calls::{LONG, put_json, send};

#[tokio::test]
async fn a_link_is_cut_stalled_and_restored() {
    let platform = PlatformStandin::start(PlatformOptions::default())
        .await
        .unwrap();
    let relay = RelayStandin::start(RelayOptions::to(platform.address()))
        .await
        .unwrap();
    let base = format!("http://{}", relay.address());
    let orders = format!("http://{}/standin/link", relay.control_address());
    let log = LogClient::new(&base, LONG);
    assert_eq!(log.append("s", "a").await.unwrap(), 0);

    let cut = LinkOrder {
        cut: true,
        ..LinkOrder::default()
    };
    assert_eq!(
        send(put_json(&orders, &cut)).await.unwrap().status(),
        StatusCode::OK
    );
    assert!(log.append("s", "lost").await.is_err());

    let stalled = LinkOrder {
        stalled: true,
        ..LinkOrder::default()
    };
    send(put_json(&orders, &stalled)).await.unwrap();
    let hosts = HttpRequest::get(&format!("{base}/hosts"));
    let silent = HttpClient::default()
        .send(hosts, Duration::from_millis(200))
        .await;
    assert!(matches!(silent, Err(HttpError::Timeout { .. })));

    send(HttpRequest::new(
        Method::DELETE,
        &orders,
        Default::default(),
    ))
    .await
    .unwrap();
    assert_eq!(log.append("s", "b").await.unwrap(), 1);
    relay.stop().await;
    platform.stop().await;
}
