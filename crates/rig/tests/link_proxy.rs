//! The TCP proxy forwards connections, and cuts, stalls and restores the link.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpError, HttpRequest};
use ferry_platform::log::LogClient;
use ferry_rig::LinkProxy;
use ferry_standin::{PlatformOptions, PlatformStandin};

/// Timeout of every call; reached only when a test fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

#[tokio::test]
async fn a_link_is_cut_stalled_and_restored() {
    let options = PlatformOptions::default();
    let platform = PlatformStandin::start(options).await.unwrap();
    let proxy = LinkProxy::start(LOOPBACK).await.unwrap();
    proxy.set_target(platform.address());
    let base = format!("http://{}", proxy.address);
    let log = LogClient::new(&base, CALL_TIMEOUT);
    assert_eq!(log.append("s", "a").await.unwrap(), 0);

    proxy.cut();
    assert!(log.append("s", "lost").await.is_err());
    proxy.heal();
    assert_eq!(log.append("s", "b").await.unwrap(), 1);

    proxy.cut_source(LOOPBACK);
    assert!(log.append("s", "lost").await.is_err());
    proxy.heal();

    proxy.stall();
    let hosts = HttpRequest::get(&format!("{base}/hosts"));
    let client = HttpClient::default();
    let silent = client.send(hosts, Duration::from_millis(200)).await;
    assert!(matches!(silent, Err(HttpError::Timeout { .. })));

    proxy.heal();
    assert_eq!(log.append("s", "c").await.unwrap(), 2);
    platform.stop().await;
}
