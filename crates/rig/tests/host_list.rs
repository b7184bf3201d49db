//! Host lists with entries that cannot be read.

use std::time::Duration;

use ferry_platform::hosts::HostsClient;
use ferry_standin::raw_http::read_request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(2);
/// Entry of a host in service.
const SOUND: &str =
    r#"{"name":"engine-1","zone":"a","role":"engine","state":"live","address":"10.0.0.1:80"}"#;

/// Starts a platform whose host list is `body`; returns a client of it.
async fn start(body: String) -> HostsClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            if read_request(&mut stream).await.is_some() {
                // Fails if the client has left.
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    HostsClient::new(&base, TIMEOUT)
}

/// Guards against one odd entry that takes all hosts away.
#[tokio::test]
async fn an_entry_that_cannot_be_read_costs_only_itself() {
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    let odd = [
        "null".to_owned(),
        "7".to_owned(),
        "{}".to_owned(),
        SOUND.replace("live", "odd"),
        SOUND.replace("engine\"", "odd\""),
        SOUND.replace("\"10.0.0.1:80\"", "7"),
        deep,
    ];
    for entry in odd {
        let client = start(format!(r#"{{"hosts":[{entry},{SOUND},{entry}]}}"#)).await;
        let hosts = client.list().await.unwrap().hosts;
        let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        let shown: String = entry.chars().take(60).collect();
        assert_eq!(names, ["engine-1"], "{shown}");
    }
}
