//! Sends the examples of the callers' page to a fleet.

use std::time::Duration;

use ferry_decisions::names::RequestId;
use ferry_kernel::http::{HttpClient, HttpRequest, collect_limited};
use ferry_rig::curl_request;
use serde_json::{Value, json};

use crate::sample::{KEY, fleet};

const PAGE: &str = include_str!("../../docs/CALLERS.md");
/// Address of the router in the page's examples.
const PAGE_ADDRESS: &str = "127.0.0.1:8080";
/// Timeout of a call; reached only when a test fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest answer read, in bytes.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// A command of the page, and the status that the page states for its answer.
struct PageExample {
    line: &'static str,
    status: u16,
}

fn examples() -> Vec<PageExample> {
    let lines: Vec<_> = PAGE.lines().collect();
    let pairs = lines.windows(2).filter(|pair| pair[0].starts_with("curl "));
    pairs.map(|pair| example(pair[0], pair[1])).collect()
}

fn example(line: &'static str, comment: &str) -> PageExample {
    let text = comment.strip_prefix("# answers ").expect(line);
    let status = text[..3].parse().expect(comment);
    PageExample { line, status }
}

#[tokio::test]
async fn each_example_answers_as_the_page_says() {
    let rig = fleet(1).await;
    let client = HttpClient::default();
    let mut session = String::new();
    let examples = examples();
    assert!(examples.len() >= 10, "only {} examples", examples.len());
    for example in examples {
        let line = example
            .line
            .replace(PAGE_ADDRESS, &rig.callers(0))
            .replace("$NEW_UUIDV7", RequestId::generate().as_str())
            .replace("$SESSION", &session);
        let answer = client
            .send(curl_request(&line), CALL_TIMEOUT)
            .await
            .unwrap();
        let (head, body) = answer.into_parts();
        let body = collect_limited(body, ANSWER_LIMIT).await.unwrap();
        assert_eq!(head.status.as_u16(), example.status, "{line}: {body:?}");
        if let Some(token) = head.headers.get("ferry-session") {
            token.to_str().unwrap().clone_into(&mut session);
        }
    }
}

#[tokio::test]
async fn answers_have_the_fields_that_a_chat_client_reads() {
    assert!(PAGE.contains(&format!("base_url=\"http://{PAGE_ADDRESS}/v1\"")));
    let rig = fleet(1).await;
    let client = HttpClient::default();
    let url = format!("http://{}/v1/chat/completions", rig.callers(0));
    let body = json!({
        "model": "triage",
        "messages": [{ "role": "user", "content": "Summarise the file" }],
        "temperature": 0.2,
    });
    let id = RequestId::generate();
    let mut request = HttpRequest::post_json(&url, &body).bearer(KEY);
    for (name, value) in [
        ("accept", "application/json"),
        ("user-agent", "OpenAI/Python"),
        ("x-stainless-lang", "python"),
        ("ferry-deadline-ms", "20000"),
        ("idempotency-key", id.as_str()),
    ] {
        request.headers.insert(name, value.parse().unwrap());
    }
    let answer: Value = client.fetch_json(request, CALL_TIMEOUT).await.unwrap();
    assert_eq!(answer["object"], "chat.completion");
    assert_eq!(answer["choices"][0]["message"]["role"], "assistant");
    assert!(answer["choices"][0]["message"]["content"].is_string());
    assert!(answer["usage"]["total_tokens"].as_u64() > Some(0));

    let mut unknown = body;
    unknown["model"] = "no-such-model".into();
    let request = HttpRequest::post_json(&url, &unknown).bearer(KEY);
    let answer = client.send(request, CALL_TIMEOUT).await.unwrap();
    let body = collect_limited(answer.into_body(), ANSWER_LIMIT).await;
    let refusal: Value = serde_json::from_slice(&body.unwrap()).unwrap();
    assert_eq!(refusal["error"]["type"], "unknown");
    assert!(refusal["error"]["message"].is_string());
}
